"""What a fleet of some size costs, role by role: the arithmetic behind docs/CAPACITY.md.

`command.py` has the command line; the names below are what it is made of.
"""

from .command import main
from .figures import Figures
from .fit import line, power
from .measure import measure
from .page import MARKS, written
from .roles import Row, reached, rows
from .scale_run import burst, scaled
from .size import Size
from .tables import missing

__all__ = [
    "MARKS",
    "Figures",
    "Row",
    "Size",
    "burst",
    "line",
    "main",
    "measure",
    "missing",
    "power",
    "reached",
    "rows",
    "scaled",
    "written",
]
