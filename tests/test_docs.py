"""Names of code quoted in the documentation exist: modules, classes, functions, constants and tests."""

from __future__ import annotations

import ast
import re
from functools import cache
from pathlib import Path

import pytest
from source_names import identifiers

ROOT = Path(__file__).parents[1]
CODE = ("starlingwheel", "fakes", "trials", "tests")
# Pages about the current code; results, incidents and assumptions refer to earlier versions.
PAGES = ["README.md"] + [
    f"docs/{name}.md"
    for name in (
        "architecture",
        "design",
        "endings",
        "fleet",
        "glossary",
        "migration",
        "oncall",
        "operations",
        "operators",
        "policy",
        "scale",
        "zones",
    )
]
QUOTED = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"[\w./-]+\.py")
NAME = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)*")
TOOLS = {"mypy", "pip", "pytest", "python", "ruff"}


def names_of(tree: ast.AST) -> set[str]:
    """Return a module's identifiers, keywords, and words of short strings: settings, log events, headers."""
    names = identifiers(tree)
    for node in ast.walk(tree):
        match node:
            case ast.keyword(arg=str(name)):
                names.add(name)
            case ast.Constant(value=str(text)) if len(text) < 48:
                names.update(re.findall(r"\w+", text))
    return names


@cache
def modules() -> list[Path]:
    """Return all source files."""
    return [path for folder in CODE for path in (ROOT / folder).rglob("*.py")]


@cache
def known_names() -> frozenset[str]:
    """Return the names in the source files, and the names of files and folders."""
    names = set(TOOLS)
    for path in modules():
        if path != Path(__file__):
            names |= {path.stem, path.parent.name} | names_of(ast.parse(path.read_text()))
    return frozenset(names)


def exists(path: str) -> bool:
    """Return whether a path exists below the root or a source folder, or is the name of a module."""
    if any((ROOT / folder / path).exists() for folder in ("", *CODE)):
        return True
    return any(path == module.name for module in modules())


def is_unknown(quoted: str) -> bool:
    """Return whether a quoted name does not exist; text that is not a name is not checked."""
    if quoted.startswith("test_") and quoted.endswith("..."):
        return not any(name.startswith(quoted.removesuffix("...")) for name in known_names())
    if paths := PATH.findall(quoted):
        return not all(exists(path) for path in paths)
    if not NAME.fullmatch(quoted):
        return False
    if (ROOT / quoted).exists():
        return False
    return not set(quoted.split(".")) <= known_names()


@pytest.mark.parametrize("page", PAGES)
def test_names_that_a_page_quotes_exist(page: str) -> None:
    """Each part of a dotted name must occur in the source."""
    quoted = QUOTED.findall((ROOT / page).read_text())
    assert quoted and not sorted({text for text in quoted if is_unknown(text)})


@pytest.mark.parametrize(
    "gone", ["DiscoveryClient.no_such_method", "net/no_such_module.py", "test_no_such_..."]
)
def test_a_name_that_does_not_exist_is_reported(gone: str) -> None:
    """The check itself detects missing names."""
    assert is_unknown(gone)
