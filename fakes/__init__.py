"""Fakes of the systems around a sidecar: upstreams, discovery, clients, links and the coordination store.

They share no code with the sidecar. Each fake records what it observes, and the results of tests and trials
are determined from these records alone.
"""
