"""Entry point of `python -m trials.capacity`, the same command as `python -m trials capacity`."""

import sys

from .command import main

if __name__ == "__main__":
    sys.exit(main())
