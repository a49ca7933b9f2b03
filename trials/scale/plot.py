"""Plot measured figures by size: `python -m trials.scale.plot FILE... --output a.png`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

import matplotlib

from .slopes import mean_by_size, read_lines

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
from matplotlib.figure import Figure  # noqa: E402

FIGURES = {
    "sockets": "sockets a member",
    "wire_out": "bytes/s out with headers, a member",
    "core": "part of a core, a member",
    "watch_events_s": "watch events/s, arbiter",
}


def plot_figures(lines: list[dict[str, Any]], phase: str) -> Figure:
    """Return a plot with a panel for each figure and a line for each cell size and role."""
    figure, panels = plt.subplots(2, 2, figsize=(10, 7))
    cell_sizes = sorted({line["cell_size"] for line in lines})
    for panel, (name, label) in zip(panels.flat, FIGURES.items(), strict=True):
        for cell_size in cell_sizes:
            for role in ("arbiter",) if name == "watch_events_s" else ("hollow", "real", "alone"):
                by_size = mean_by_size(lines, role, phase, name, cell_size)
                if by_size:
                    series_label = f"{role}, " + (f"cells of {cell_size}" if cell_size else "one cell")
                    panel.plot(list(by_size), list(by_size.values()), marker="o", label=series_label)
        panel.set_xlabel("members")
        panel.set_ylabel(label)
        panel.set_ylim(bottom=0)
        panel.grid(alpha=0.3)
        panel.legend(fontsize=7)
    figure.suptitle(f"phase: {phase}")
    figure.tight_layout()
    return figure


def main(arguments: list[str] | None = None) -> int:
    """Run the command line, and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m trials.scale.plot", description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--phase", default="rest")
    parser.add_argument("--output", type=Path, required=True)
    args = parser.parse_args(arguments)
    try:
        lines = read_lines(args.files)
        plot_figures(lines, args.phase).savefig(args.output, dpi=100)
    except (OSError, ValueError) as error:
        print(f"trials.scale.plot: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
