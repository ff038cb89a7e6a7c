"""Adapter between a gateway and the hosting platform that runs it.

The package translates the platform's requests, files and API calls to the types of
`tanagerturn.gateway` and back, and makes no decisions. The terms of the platform
(machine, node, zone, tenant, back end, manifest) occur in no other package.
"""
