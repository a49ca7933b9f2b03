"""Calls down a tree of services in emulated time; see `command.py`, which has the command line."""

from .command import main
from .plan import Plan
from .retry_budget import Budget
from .tables import table
from .tree import Tree, play

__all__ = ["Budget", "Plan", "Tree", "main", "play", "table"]
