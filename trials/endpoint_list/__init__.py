"""Trials of the endpoint list: real sidecars, a discovery with faults, and servers that drain."""

from .cases import CASES, broken_message, ended_instead, restarted, silent_watch, soak

__all__ = ["CASES", "broken_message", "ended_instead", "restarted", "silent_watch", "soak"]
