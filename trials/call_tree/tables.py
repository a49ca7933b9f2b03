"""Results in Markdown."""

from __future__ import annotations

from typing import Any

from .plan import Plan

HEAD = [
    "scene",
    "what if",
    "seeds",
    "load at the leaf",
    "most in 0.1 s",
    "by second",
    "most at any level",
    "answered while it lasts",
    "in the last second",
    "most copies, retries at a level",
]


def table(results: list[dict[str, Any]]) -> str:
    """Format a table with a row for each kind of run, with ranges over its seeds."""
    kinds: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for result in results:
        if "void" not in result:
            kinds.setdefault((_scene(result), _what_if(result)), []).append(result)
    rows = [HEAD, ["---"] * len(HEAD)]
    rows += [[scene, what_if or "as it is", *_figures(runs)] for (scene, what_if), runs in kinds.items()]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def _scene(result: dict[str, Any]) -> str:
    services = result["services"]
    scene = result["scene"] + (f" {result['part']:.0%}" if result["part"] < 1 else "")
    scene += f", {services} service{'s' * (services > 1)} a level, {result['depth']} deep"
    if (result["instances"], result["rate"]) != (Plan.instances, Plan.rate):
        scene += f", {result['instances']} servers a service, {result['rate']:.0f} calls a second each"
    return scene


def _what_if(result: dict[str, Any]) -> str:
    conditions = [f"a budget of {result['budget']:.0%}"] if result["budget"] is not None else []
    # Lines with the key `regains` are older than the rule that requests without an endpoint add to the budget
    # for trials.
    if "regains" in result:
        conditions += ["with the mend, as a what-if"] if result["regains"] else ["before the mend"]
    conditions += ["a deferral below is one above"] if result.get("passes_on") else []
    conditions += ["no load reports"] if not result["reports"] else []
    conditions += [f"{result['effect']} work"] if result["effect"] != Plan.effect else []
    return ", ".join(conditions)


def _figures(runs: list[dict[str, Any]]) -> list[str]:
    fault_seconds = max(1, round(runs[0]["lasts"]))
    loads_by_second = zip(*(run["by second"] for run in runs), strict=True)
    during_fault = [run["answered by second"][:fault_seconds] for run in runs]
    most_of_a_level = [max(level["sends a root call"] for level in run["levels"]) for run in runs]
    most_of_a_kind = [
        max(level[kind] for run in runs for level in run["levels"]) for kind in ("copy", "retry")
    ]
    return [
        str(len(runs)),
        _range([run["load at the leaf"] for run in runs], ".2f"),
        _range([run["most in a tenth"] for run in runs], ".1f"),
        ", ".join(f"{sum(loads) / len(loads):.2f}" for loads in loads_by_second),
        _range(most_of_a_level, ".2f"),
        _range([sum(answered) / len(answered) for answered in during_fault], ".0%"),
        _range([run["answered by second"][-1] for run in runs], ".0%"),
        ", ".join(f"{most:.0%}" for most in most_of_a_kind),
    ]


def _range(values: list[float], form: str) -> str:
    low, high = format(min(values), form), format(max(values), form)
    return low if low == high else f"{low} to {high}"
