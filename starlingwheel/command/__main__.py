"""Command `python -m starlingwheel.command`: deprecated name of `python -m starlingwheel.cli`."""

from ..cli.__main__ import main

if __name__ == "__main__":
    main()
