"""Which backend servers a node knows.

Public parts: `announcements` (records and layer ranges), `subset` (bounded
choice for one node) and `view` (the servers that a node has been told of).
"""
