"""Which backend server holds which layers.

Public parts: `planner.plan` and `executor.Executor`.
"""
