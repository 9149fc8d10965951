"""Structured logging: one line of key=value pairs for each event."""

import sys
from typing import Any, TextIO

from loguru import logger

_FORMAT = "ts={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {message}"


def setup_logging(level: str = "INFO", stream: TextIO | None = None, **fields: Any) -> None:
    """Send log lines to a stream.

    :param level: least severe level that is written.
    :param stream: standard error if None.
    :param fields: pairs that every line carries, for example the VM.
    """
    suffix = _pairs(fields).replace("{", "{{").replace("}", "}}")
    logger.remove()
    logger.add(stream or sys.stderr, format=f"{_FORMAT} {suffix}", level=level, backtrace=False)


def log_event(event: str, level: str = "INFO", **fields: Any) -> None:
    """Write one event as a line of key=value pairs; empty values are left out."""
    logger.opt(depth=1).log(level, f"event={event} {_pairs(fields)}".rstrip())


def _pairs(fields: dict[str, Any]) -> str:
    return " ".join(
        f"{key}={_quote(value)}" for key, value in fields.items() if value not in ("", None)
    )


def _quote(value: Any) -> str:
    text = str(value)
    if any(char in text for char in " ='\"\n\r\t"):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
