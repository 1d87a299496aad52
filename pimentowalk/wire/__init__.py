"""The wire protocol between entries, agents and control instances.

Public modules: `messages` and `node_messages` (one attrs class for each
frame body), `codec` (conversion between attrs objects and capnp frames),
`connection` (peer connections and their server) and `keepalive` (detection
of unresponsive peers).
"""
