"""The replicated log of the control replicas.

Public parts: `replica` (Replica), `log` (DurableLog), `snapshot`
(Snapshot), `members` (Member, the actions of a membership change) and
`rules` (the decisions that specs/ explores).
"""
