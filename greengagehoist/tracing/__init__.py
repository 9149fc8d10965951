"""Spans and traces."""

from greengagehoist.tracing._spans import (
    Line,
    Span,
    order_spans,
    parse_traceparent,
)

__all__ = ["Line", "Span", "order_spans", "parse_traceparent"]
