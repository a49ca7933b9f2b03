"""A soak: random overlapping faults at some sidecars of real processes, judged at clients and servers."""

from .run import run_trial

__all__ = ["run_trial"]
