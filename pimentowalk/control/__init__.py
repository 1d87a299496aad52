"""The control plane: the replicated log, its state, and node sessions.

Public parts of the log: `replica` (Replica), `log` (DurableLog), `snapshot`
(Snapshot), `members` (Member, the actions of a membership change) and
`rules` (the decisions that specs/ explores).

Public parts above it: `commands` (what can be asked), `state` (what the log
builds), `directory` (which nodes live), `server` (peer connections of a
control instance), `client` (ControlClient, NodeSession) and `daemon`.
"""
