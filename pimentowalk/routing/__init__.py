"""Routing of requests over backend servers.

Chains of agents: `index` (servers by layer range), `loads` (queued work),
`links` (delays and penalties), `prefix` (prefix cache affinity) and `policies`
(the registry with `least_cost` and `round_robin`); `plain` for plain services.
Paths of a gateway: `hops` (path policies), `work` (load), `outcomes`, and
`pace` (limits of servers that return).
"""
