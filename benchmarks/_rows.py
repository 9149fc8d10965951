"""Result rows, their bounds and the known failures listed in KNOWN-RED.txt."""

import operator
from pathlib import Path
from typing import NamedTuple

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
_COMPARE = {">=": operator.ge, "<=": operator.le, ">": operator.gt, "<": operator.lt}


class Row(NamedTuple):
    """A measured value and its bound.

    :param bound: comparison such as ``>= 99.9``, empty for none.
    """

    name: str
    value: float
    bound: str
    unit: str


def is_within_bound(row: Row) -> bool:
    """Return whether the value is within its bound.

    :raises ValueError: if the bound is not a comparison such as ``<= 1.5``.
    """
    if not row.bound:
        return True
    sign, _, number = row.bound.partition(" ")
    if sign not in _COMPARE:
        raise ValueError(f"bound of {row.name}: got {row.bound!r}, accepted: >= or <= and a number")
    return _COMPARE[sign](row.value, float(number))


def read_known_red(path: Path = KNOWN_RED) -> dict[str, str]:
    """Return the lines ``bench: <row name> seen <value> bound <bound>`` by row name."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.startswith("bench:")]
    return {line.removeprefix("bench:").partition(" seen ")[0].strip(): line for line in lines}
