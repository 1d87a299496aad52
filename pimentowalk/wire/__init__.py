"""Frames between the processes of the system.

Public parts: `messages` (one attrs class for each frame body), `codec`
(attrs to capnp and back), `connection` (peer connections and servers) and
`keepalive` (detection of silent peers).
"""
