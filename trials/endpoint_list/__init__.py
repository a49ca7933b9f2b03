"""Trials of the endpoint list: real sidecars, one discovery that fails in many ways, servers that drain."""

from .cases import CASES, broken_message, ended_instead, restarted, silent_watch, soak

__all__ = ["CASES", "broken_message", "ended_instead", "restarted", "silent_watch", "soak"]
