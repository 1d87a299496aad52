"""The entry: HTTP for callers, attempts on chains, service calls.

Public parts: `context` (what requests share), `front` (HTTP handlers),
`model_call` (a model request and its attempts), `assembly` (the answer),
`service_call` (plain services), `claims` (idempotency keys), `pool`
(connections to agents), `drain` and `daemon`.
"""
