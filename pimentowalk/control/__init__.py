"""Control plane: a replicated log, its state machine and node sessions.

Public modules: `replica` (Replica), `log` (DurableLog), `snapshot`
(Snapshot), `members` (Member), `rules` (consensus rules, which specs/
explores), `commands` (commands and queries), `state` (the replicated state
machine), `directory` (live nodes), `server` (peer connections of a control
instance), `client` (ControlClient, NodeSession) and `daemon`.
"""
