"""Spans and traces."""

from greengagehoist.tracing._spans import (
    Span,
    SpanNode,
    order_spans,
    parse_traceparent,
)

__all__ = ["Span", "SpanNode", "order_spans", "parse_traceparent"]
