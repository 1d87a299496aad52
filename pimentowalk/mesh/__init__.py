"""How gateway nodes find control, hear of changes and ask the leader.

Public parts: `node.MeshNode`, `hub.Hub`, `links.ControlLink`,
`leader.LeaderClient` and `freshness.Freshness`.
"""
