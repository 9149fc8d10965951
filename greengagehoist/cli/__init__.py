"""The command-line program."""

from greengagehoist.cli._main import main

__all__ = ["main"]
