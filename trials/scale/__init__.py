"""The scale run: many hollow members of a fleet beside real processes, counted at the socket.

A hollow member is a `Fleet` with a `Hosting` of its own: the program's own links, cover, policy and arbiter's
client on real sockets, many on one loop, without clients, upstreams and a module of decisions.
"""
