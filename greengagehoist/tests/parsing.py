"""Parsing of the project's own modules by tests."""

import ast
import gc
from pathlib import Path


def parse_module(path: Path) -> ast.Module:
    """Return the syntax tree of a module.

    A garbage collection within ``ast.parse`` may run a finalizer whose error report parses source
    code as well, which makes CPython 3.11 raise SystemError.
    """
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()
