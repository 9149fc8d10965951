"""The command-line program ``greengagehoistctl``."""

from greengagehoist.cli._main import main

__all__ = ["main"]
