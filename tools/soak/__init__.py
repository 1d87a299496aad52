"""A randomized soak of gateways as separate processes.

Faults come from outside the processes: signals, a relay before each backend
server, changed settings and removed disks. The promises are checked from
what callers, operators and backend servers see. Run one seed with
`python -m tools.soak.run --seed 7 --duration-s 30`.
"""
