"""Adapter between the outer platform and a gateway.

It translates the platform's requests, files and API calls to the types of
`tanagerturn.gateway` and back, and makes no decisions. The platform's own terms
(machine, node, zone, tenant, back end, manifest) occur in no other package.
"""
