"""A node that serves clients from backend servers without agents.

Public part: `core.GatewayNode`, the base class of the daemon of an adapter.
"""
