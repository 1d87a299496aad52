"""Limits, queues and suspicion that protect backend servers.

Public parts: `fair_queue` (queue policies) and `suspicion` (requests that
were in flight when an engine crashed).
"""
