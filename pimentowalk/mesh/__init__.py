"""Connect gateway nodes to control instances and relay announcements.

Public parts: `node.MeshNode`, `hub.Hub`, `links.ControlLink`,
`leader.LeaderClient` and `freshness.Freshness`.
"""
