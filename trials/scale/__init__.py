"""The scale run: many hollow members of a fleet beside real processes, counted at the socket.

A hollow member is the program's `FleetMember` with a `FleetHost` of its own: the program's own links,
replication, policy and client of the store on real sockets, many on one loop, without clients, upstreams and
a request coordinator.
"""
