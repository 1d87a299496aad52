"""Foundations that every other subpackage uses.

Public parts: `errors`, `identifiers`, `logs`, `metrics`, `registry`,
`sockets` and `timers`.
"""
