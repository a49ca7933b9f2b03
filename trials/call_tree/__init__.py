"""Simulation of calls through a tree of services, in emulated time. `command.py` has the command line."""

from .command import main
from .plan import Plan
from .retry_budget import RetryBudget
from .tables import table
from .tree import Tree, simulate

__all__ = ["RetryBudget", "Plan", "Tree", "main", "simulate", "table"]
