"""Spans of a request and their order in a trace."""

from typing import NamedTuple


class Span(NamedTuple):
    """One hop of a request.

    :param parent_id: span that caused this one, empty for the first.
    :param vm: VM of the daemon that recorded the span.
    :param start: wall-clock start, seconds since the Unix epoch.
    :param duration: seconds.
    :param status: ``ok`` or the error code.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    vm: str
    peer: str
    start: float
    duration: float
    status: str


class Line(NamedTuple):
    """A span with its depth in the tree of spans."""

    depth: int
    span: Span


def order_spans(spans: tuple[Span, ...]) -> tuple[Line, ...]:
    """Order spans as a tree, each parent before its children, siblings by start."""
    known = {span.span_id for span in spans}
    children: dict[str, list[Span]] = {}
    for span in sorted(set(spans), key=lambda item: (item.start, item.span_id)):
        parent = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent, []).append(span)
    lines: list[Line] = []
    stack = [Line(0, span) for span in reversed(children.get("", []))]
    while stack:
        line = stack.pop()
        lines.append(line)
        below = reversed(children.get(line.span.span_id, []))
        stack.extend(Line(line.depth + 1, span) for span in below)
    return tuple(lines)


def parse_traceparent(value: str) -> tuple[str, str] | None:
    """Return trace id and span id of a ``traceparent`` header, or None if it is malformed."""
    parts = value.split("-")
    if len(parts) != 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    if not all(char in "0123456789abcdef" for char in parts[1] + parts[2]):
        return None
    return parts[1], parts[2]
