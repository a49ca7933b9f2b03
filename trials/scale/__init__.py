"""The scale run: the cost of each member of a large fleet, most of whose members are hollow.

A hollow member is the program's `FleetMember` with a `FleetHost` of its own. It has the program's own links,
replication, policy and store client on real sockets, but no client connections, upstreams or request
coordinator, so that many of them run on one event loop. They run beside real processes for comparison. All
traffic is counted at the sockets.
"""
