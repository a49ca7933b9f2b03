"""A soak: random overlapping faults at one sidecar of real processes, judged at its clients and servers."""

from .run import run_trial

__all__ = ["run_trial"]
