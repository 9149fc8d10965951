"""Validation of settings, lists and request fields."""

import ipaddress
import re
import reprlib
from typing import Any

_NAME = re.compile(r"[a-z0-9][a-z0-9._:-]{0,63}")
_PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535
_MAX_SHOWN_CHARS = 80
_shortener = reprlib.Repr()
_shortener.maxstring = _shortener.maxother = _MAX_SHOWN_CHARS


def show_value(value: Any) -> str:
    """Return a truncated representation of a value.

    Python refuses to convert integers of several thousand digits to text; these are described by
    their type.
    """
    try:
        return _shortener.repr(value)
    except ValueError:
        return f"a very large {type(value).__name__}"


class ValidationError(ValueError):
    """A value outside the accepted range.

    :param field: name or path of the field.
    :param value: rejected value.
    :param accepted: description of the accepted values.
    """

    def __init__(self, field: str, value: Any, accepted: str):
        super().__init__(f"{field}: got {show_value(value)}, accepted: {accepted}")
        self.field = field
        self.value = value
        self.accepted = accepted


def check_int(field: str, value: Any, low: int, high: int) -> int:
    """Return ``value`` if it is an integer in [low, high].

    :raises ValidationError: otherwise.
    """
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise ValidationError(field, value, f"an integer from {low} to {high}")
    return value


def check_float(field: str, value: Any, low: float, high: float) -> float:
    """Return ``value`` as float if it is a number in [low, high].

    :raises ValidationError: otherwise.
    """
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise ValidationError(field, value, f"a number from {low} to {high}")
    return float(value)


def check_name(field: str, value: Any) -> str:
    """Return ``value`` if it is a name of at most 64 lower-case characters.

    :raises ValidationError: otherwise.
    """
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValidationError(field, value, "1 to 64 of a-z 0-9 . _ : -, first a letter or digit")
    return value


def check_text(field: str, value: Any, max_length: int) -> str:
    """Return ``value`` if it is a string of 1 to ``max_length`` characters.

    :raises ValidationError: otherwise.
    """
    if not isinstance(value, str) or not 1 <= len(value) <= max_length:
        shown = value if not isinstance(value, str) or len(value) < 80 else value[:80]
        raise ValidationError(field, shown, f"a string of 1 to {max_length} characters")
    return value


def check_label(field: str, value: Any, max_bytes: int) -> str:
    """Return ``value`` if it is text that a header and a log line can hold.

    :raises ValidationError: if it is empty, longer than ``max_bytes`` in UTF-8, begins or ends with
        a space, or holds control characters or lone surrogates.
    """
    sound = isinstance(value, str) and value.isprintable() and value == value.strip() and value
    if not sound or len(value.encode()) > max_bytes:
        accepted = f"1 to {max_bytes} bytes of printable text without spaces at its ends"
        raise ValidationError(field, value, accepted)
    return value


def parse_port(text: str) -> int:
    """Return the port that ``text`` names; 0 is accepted.

    :raises ValidationError: unless it is one to five ASCII digits, at most ``MAX_PORT``.
    """
    # int() also accepts signs, spaces, underscores and the digits of other scripts.
    if not _PORT.fullmatch(text) or int(text) > MAX_PORT:
        raise ValidationError("port", text, f"a number from 0 to {MAX_PORT}")
    return int(text)


def check_address(field: str, value: Any) -> tuple[str, int]:
    """Parse ``ip:port``.

    :returns: the IP address and the port (0 lets the system choose one).
    :raises ValidationError: if ``value`` is not an IP address and a port from 0 to 65535.
    """
    accepted = "an IP address and a port, for example 127.0.0.1:8080"
    if not isinstance(value, str) or ":" not in value:
        raise ValidationError(field, value, accepted)
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return host, parse_port(port)
    except ValueError as exc:
        raise ValidationError(field, value, accepted) from exc
