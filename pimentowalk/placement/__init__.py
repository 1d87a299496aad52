"""Placement of model layers on backend servers.

Public API: `planner.plan` and `executor.Executor`.
"""
