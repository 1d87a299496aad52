"""The adapter to the users' platform: its names, formats and calls.

Nothing outside this package knows them. Public parts: `documents`,
`announcements`, `engines`, `front`, `control_api` and `daemon`.
"""
