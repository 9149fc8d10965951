"""Spans and traces."""

from greengagehoist.tracing._spans import (
    Line,
    Span,
    format_traceparent,
    order_spans,
    parse_traceparent,
)

__all__ = ["Line", "Span", "format_traceparent", "order_spans", "parse_traceparent"]
