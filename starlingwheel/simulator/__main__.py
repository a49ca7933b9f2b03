"""Command `python -m starlingwheel.simulator`: reads batches from stdin and writes only replies to stdout."""

import gc
import sys
import traceback

from .process import SimulatorProcess
from .wire import MalformedMessageError, encode_defect

EXIT_OK, EXIT_DEFECT, EXIT_MALFORMED_INPUT = 0, 1, 2


def main() -> int:
    """Process batches until the end of the input; return the exit code."""
    gc.freeze()
    process = SimulatorProcess()
    lines = iter(sys.stdin.readline, "")
    for first in lines:
        first = first.rstrip("\r\n")
        if not first:
            process.line_number += 1
            continue
        try:
            reply = process.process_batch(first, lines)
        except MalformedMessageError as error:
            print(f"starlingwheel: {error}", file=sys.stderr)
            return EXIT_MALFORMED_INPUT
        except Exception as error:
            traceback.print_exc()
            print(encode_defect(error), flush=True)
            return EXIT_DEFECT
        sys.stdout.write("\n".join(reply) + "\n")
        sys.stdout.flush()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
