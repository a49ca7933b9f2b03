"""Load reports: load figures that an endpoint sends with a response or with the result of a health check."""

from __future__ import annotations

import re
from collections.abc import Iterable

from ...settings import LOAD_REPORT_FIGURES, LOAD_REPORT_UNITS
from ..state.buffers import BufferedBody
from ..state.requests import Exchange

LOAD_REPORT_HEADER = b"endpoint-load-metrics"
MAX_REPORT_LENGTH = 512  # bytes
NUMBER = re.compile(r"\d{1,9}(\.\d{1,9})?")


def parse_load_report(text: str) -> dict[str, float]:
    """Return the figures that the decisions use, by the decisions' names for them.

    A report that can't be parsed is ignored as a whole: the result is an empty dict.
    """
    report: dict[str, float] = {}
    if len(text) > MAX_REPORT_LENGTH:
        return {}
    for pair in text.strip().removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        if figure := LOAD_REPORT_FIGURES.get(name):
            # Non-numeric, signed, infinite and duplicate figures must not reach the decisions.
            if figure in report or not NUMBER.fullmatch(value):
                return {}
            report[figure] = float(value) * LOAD_REPORT_UNITS.get(figure, 1.0)
    return report


def extract_load_report(
    headers: Iterable[tuple[bytes, bytes]], exchange: Exchange, body: BufferedBody
) -> dict[str, float]:
    """Return the load report of a response: from its header, or from the body of a health check."""
    values = [value for name, value in headers if name == LOAD_REPORT_HEADER]
    text = values[0].decode("latin-1") if len(values) == 1 else ""
    if not values and exchange.pending is None and body.length <= MAX_REPORT_LENGTH:
        text = b"".join(body.views()).decode("latin-1")
    return parse_load_report(text) if text else {}
