"""The entry daemon ``greengagehoistd`` and the gateway daemon."""

from importlib import import_module
from typing import Any

# Imported on first use, so that the gateway does not load the HTTP interfaces of the entry daemon.
_MODULES = {
    "Daemon": "_daemon",
    "Settings": "_settings",
    "check_settings": "_settings",
    "main": "_main",
}

__all__ = ["Daemon", "Settings", "check_settings", "main"]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
