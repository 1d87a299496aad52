"""Membership of backend servers as a node knows it.

Public parts: `backends` (servers that announce themselves without an agent;
`records`, `departures`, `leaving` and `succession` are its parts),
`announcements` (keys of layer ranges), `subset` (the bounded set of servers
that one node watches) and `view` (servers that control instances report).
"""
