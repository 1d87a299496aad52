"""Machines, zones, links and the contracts about them.

Public parts: `contracts` (Service, Route, ClientAccount, Configuration) and
`instances` (AvailabilityZone, Instance, Link, BackendServer).
"""
