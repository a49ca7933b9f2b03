"""Stand-ins for what lies outside the program: upstreams, their list, clients, the links, the arbiter.

They share no code with the program. Each notes what it saw; verdicts are made from these notes alone.
"""
