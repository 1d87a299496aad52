"""The daemon beside each backend server.

Public parts: `node.Agent` (wires the roles of one agent together), `head`
(queue, admission and the driving of steps), `stage` (sequences of one
engine), `service_calls` (plain services), `queued` (work that is taken out of
a queue), `orders` and `rules` (decisions shared with specs/attempts.py).
"""
