"""A node that serves callers without agents beside backend servers.

Public parts: `core.GatewayNode`, wired by the daemon of an adapter.
"""
