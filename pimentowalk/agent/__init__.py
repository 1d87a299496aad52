"""The daemon that runs beside each backend server.

Public modules: `node.Agent` (wires the components of one agent together),
`head` (queueing, admission and scheduling of steps), `stage` (sequences of
one engine), `service_calls` (calls to plain services), `queued` (removal of
queued work that is refused), `orders` (orders of operators) and `rules`
(decisions shared with the specifications specs/attempts.py and
specs/service_calls.py).
"""
