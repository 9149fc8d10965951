"""Controller that keeps the most recent spans of this daemon."""

from collections import OrderedDict
from typing import Any, NamedTuple

from greengagehoist.tracing import Span
from greengagehoist.utils import Controller, Reply

MOST_TRACES = 2000
MOST_SPANS_PER_TRACE = 200


class Record(NamedTuple):
    """Keep spans."""

    spans: tuple[Span, ...]


class GetTrace(NamedTuple):
    """Ask for the spans of a trace; replied by ``tuple[Span, ...]``."""

    trace_id: str


class TraceController(Controller):
    """Keeps spans by trace and drops the oldest traces."""

    def __init__(self):
        super().__init__("traces")
        self._traces: OrderedDict[str, list[Span]] = OrderedDict()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case Record(spans):
                for span in spans:
                    self._keep(span)
            case GetTrace(trace_id):
                reply(tuple(self._traces.get(trace_id, ())))

    def _keep(self, span: Span) -> None:
        kept = self._traces.setdefault(span.trace_id, [])
        if len(kept) < MOST_SPANS_PER_TRACE:
            kept.append(span)
        while len(self._traces) > MOST_TRACES:
            self._traces.popitem(last=False)
