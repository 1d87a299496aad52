"""Adapt the system to the platform on which its users deploy it.

The header names, paths, JSON formats and calls of the platform are used in
this package only. Public modules: `documents`, `announcements`, `engines`,
`front`, `control_api` and `daemon`.
"""
