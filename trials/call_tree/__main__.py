"""Entry point of `python -m trials.call_tree`, the same command as `python -m trials call-tree`."""

import sys

from .command import main

if __name__ == "__main__":
    sys.exit(main())
