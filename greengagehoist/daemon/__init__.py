"""The daemon programs."""

from importlib import import_module
from typing import Any

# Loaded on first use: the gateway program needs none of the HTTP interfaces of the other one.
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
