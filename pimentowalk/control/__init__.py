"""The control plane: the replicated state and the sessions of nodes.

Public parts: `commands` (what can be asked), `state` (what the log builds),
`directory` (which nodes live), `server` (peer connections of a control
instance), `client` (ControlClient, NodeSession) and `daemon`.
"""
