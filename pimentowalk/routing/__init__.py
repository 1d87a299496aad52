"""Choice of a chain of backend servers for a model request.

Public parts: `index` (servers by layer range), `loads` (queued work and
what was sent since), `links` (delays and penalties), `prefix` (affinity) and
`policies` (the registry with `least_cost` and `round_robin`).
"""
