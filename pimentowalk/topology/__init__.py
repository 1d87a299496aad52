"""Data model of instances, zones, links, and published configurations.

Public modules: `instances` (AvailabilityZone, Instance, Link, BackendServer)
and `contracts` (Service, Route, ClientAccount, Configuration) for deployments
with agents; `backends` (Backend) and `documents` (Document) for deployments
whose backend servers announce themselves.
"""
