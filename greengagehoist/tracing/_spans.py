"""Spans and their order in a trace."""

from typing import NamedTuple


class Span(NamedTuple):
    """A timed step of a request.

    :param parent_id: span id of the parent, empty for the root.
    :param vm: VM of the daemon that recorded the span.
    :param peer: target that was called, empty if none.
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


class SpanNode(NamedTuple):
    """A span with its depth in the tree of spans."""

    depth: int
    span: Span


def order_spans(spans: tuple[Span, ...]) -> tuple[SpanNode, ...]:
    """Return the spans in depth-first order, siblings by start time."""
    known = {span.span_id for span in spans}
    children: dict[str, list[Span]] = {}
    for span in sorted(set(spans), key=lambda item: (item.start, item.span_id)):
        parent = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent, []).append(span)
    nodes: list[SpanNode] = []
    stack = [SpanNode(0, span) for span in reversed(children.get("", []))]
    while stack:
        node = stack.pop()
        nodes.append(node)
        child_spans = reversed(children.get(node.span.span_id, []))
        stack.extend(SpanNode(node.depth + 1, span) for span in child_spans)
    return tuple(nodes)


def parse_traceparent(value: str) -> tuple[str, str] | None:
    """Return the trace id and span id of a W3C ``traceparent`` header, or None if malformed."""
    parts = value.split("-")
    if len(parts) != 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    if not all(char in "0123456789abcdef" for char in parts[1] + parts[2]):
        return None
    return parts[1], parts[2]
