"""python -m starlingwheel.simulator: batches on standard input, only replies on standard output."""

import gc
import sys
import traceback

from .sidecar import SimulatorProcess
from .wire import MalformedMessageError


def main() -> int:
    gc.freeze()
    process = SimulatorProcess()
    lines = iter(sys.stdin.readline, "")
    for first in lines:
        first = first.rstrip("\r\n")
        if not first:
            process.number += 1
            continue
        try:
            reply = process.batch(first, lines)
        except MalformedMessageError as error:
            print(f"starlingwheel: {error}", file=sys.stderr)
            return 2
        except Exception as error:
            traceback.print_exc()
            print(f"DIE message={type(error).__name__}: {error}".replace("\n", " "), flush=True)
            return 1
        sys.stdout.write("\n".join(reply) + "\n")
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
