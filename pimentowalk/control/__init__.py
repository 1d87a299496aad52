"""The control plane: a replicated log, its state and the nodes' sessions.

Public parts: `replica` (Replica), `log` (DurableLog), `snapshot`
(Snapshot), `members` (Member), `rules` (decisions that specs/ explores),
`commands` (what can be asked), `state` (what the log builds), `directory`
(which nodes live), `server` (peer connections of a control instance),
`client` (ControlClient, NodeSession) and `daemon`.
"""
