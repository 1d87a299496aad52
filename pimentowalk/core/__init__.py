"""Core library that every other subpackage uses.

Public modules: `errors`, `identifiers`, `logs`, `metrics`, `registry`,
`sockets` and `timers`.
"""
