"""Entry point of `python -m starlingwheel`, which runs one sidecar configured by its environment."""

import signal
import sys

# A signal that arrives during the start would end the process or be lost, so signals stay blocked until the
# signal handler is ready (net/lifecycle/signals.py).
signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

from .net.lifecycle.sidecar import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
