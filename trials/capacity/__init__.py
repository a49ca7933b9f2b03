"""Capacity planning: what a fleet of a given size costs each sidecar and each shared service, by role.

The results are the tables of docs/CAPACITY.md. `command.py` has the command line.
"""

from .command import main
from .figures import Figures
from .fit import fit_line, growth_exponent
from .measure import measure
from .page import PAGE_MARKS, replace_between
from .roles import Row, expected_members_reached, sidecar_rows
from .scale_run import message_cost, scale_run_table
from .size import FleetLoad
from .tables import over_budget

__all__ = [
    "PAGE_MARKS",
    "Figures",
    "FleetLoad",
    "Row",
    "expected_members_reached",
    "fit_line",
    "growth_exponent",
    "main",
    "measure",
    "message_cost",
    "over_budget",
    "replace_between",
    "scale_run_table",
    "sidecar_rows",
]
