"""Collection of the identifiers in a module's source, for tests of the source code."""

from __future__ import annotations

import ast


def identifiers(tree: ast.AST) -> set[str]:
    """Return the names of variables, attributes, parameters, functions and classes."""
    names: set[str] = set()
    for node in ast.walk(tree):
        match node:
            case ast.FunctionDef(name=name) | ast.ClassDef(name=name):
                names.add(name)
            case ast.Name(id=name) | ast.Attribute(attr=name) | ast.arg(arg=name):
                names.add(name)
    return names
