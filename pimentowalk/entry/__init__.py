"""The entry: an HTTP gateway that routes requests to backend servers.

Modules, from the outside in: `daemon` (the process), `front` (HTTP handlers),
`completions` (the OpenAI-compatible API), `service_front` (routes to plain
services), `model_call` and `model_run` (a model request and its attempts),
`assembly` (the tokens of one response), `service_call` (a plain service call
and its attempts), `claims` (idempotency keys), `pool` (connections to agents),
`context` (state shared by all requests), `drain` (graceful stop).
"""
