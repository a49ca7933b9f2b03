"""Decisions that the sidecars of a fleet make together.

The package does no I/O: the clock and randomness are passed in, and a host carries out what is decided.
"""
