"""python -m starlingwheel: one real sidecar, told by its environment what to do."""

import signal
import sys

# Guards against a signal that comes during the start ending the process, or being lost: it waits till it is
# heard (net/lifecycle/signals.py).
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

from .net.lifecycle.sidecar import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
