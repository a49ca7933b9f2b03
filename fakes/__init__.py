"""Fakes of what lies outside the program: upstreams, discovery, clients, links and the coordination store.

They share no code with the program. Each records what it saw; verdicts are made from these records alone.
"""
