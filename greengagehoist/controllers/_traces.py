"""Controller that keeps the most recent spans of this daemon."""

import asyncio
from collections import OrderedDict
from typing import Any, NamedTuple

from greengagehoist.peers import (
    FromPeer,
    GetPeers,
    SendTo,
    Subscribe,
    TraceRequest,
    TraceSpans,
)
from greengagehoist.tracing import Span
from greengagehoist.utils import Controller, Reply

MAX_TRACES = 2000
MAX_SPANS_PER_TRACE = 200
# A relaying peer waits for less time than the daemon that asked it, so that its answer arrives in
# time even if some daemons of its data centre do not reply.
COLLECT_TIMEOUT_S = 1.0
RELAY_TIMEOUT_S = 0.5


class RecordSpans(NamedTuple):
    """Store spans of this daemon."""

    spans: tuple[Span, ...]


class GetTrace(NamedTuple):
    """Ask for this daemon's spans of a trace; replied by ``tuple[Span, ...]``."""

    trace_id: str


class CollectTrace(NamedTuple):
    """Ask for the spans of a trace from all reachable daemons; replied by ``tuple[Span, ...]``."""

    trace_id: str


class _StartCollection(NamedTuple):
    """Collect spans from peers; ``reply`` receives them after at most ``timeout`` seconds."""

    trace_id: str
    names: frozenset[str]
    timeout: float
    reply: Reply


class _Collection:
    """Spans of one trace that arrive from peers.

    :param pending: peers that have not answered.
    """

    def __init__(self, trace_id: str, pending: set[str], reply: Reply):
        self.trace_id = trace_id
        self.pending = pending
        self.reply = reply
        self.spans: list[Span] = []


class _Expired(NamedTuple):
    collection: _Collection


class TraceController(Controller):
    """Stores spans by trace, drops the oldest traces and collects spans from peers.

    A daemon is linked to all peers in its own data centre but only to some in each of the others.
    A peer that is asked from another data centre therefore asks the peers in its own.

    :param peers: peer controller, or None if there are no peers.
    """

    def __init__(self, peers: Controller | None = None, data_centre: str = ""):
        super().__init__("traces")
        self.peers = peers
        self.data_centre = data_centre
        self._traces: OrderedDict[str, list[Span]] = OrderedDict()
        self._collections: list[_Collection] = []

    async def run(self) -> None:
        """Handle messages until cancelled."""
        if self.peers is not None:
            self.peers.tell(Subscribe((TraceRequest, TraceSpans), self))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case RecordSpans(spans):
                for span in spans:
                    self._store_span(span)
            case GetTrace(trace_id):
                reply(tuple(self._traces.get(trace_id, ())))
            case CollectTrace(trace_id):
                self.start(self._collect(trace_id, reply))
            case FromPeer(vm, data_centre, _, TraceRequest(trace_id)):
                self.start(self._answer_peer(vm, data_centre, trace_id))
            case FromPeer(vm, _, _, TraceSpans(trace_id, spans)):
                self._add_peer_spans(vm, trace_id, spans)
            case _StartCollection():
                self._start_collection(message)
            case _Expired(collection):
                self._finish_collection(collection)

    def _store_span(self, span: Span) -> None:
        spans = self._traces.setdefault(span.trace_id, [])
        if len(spans) < MAX_SPANS_PER_TRACE:
            spans.append(span)
        while len(self._traces) > MAX_TRACES:
            self._traces.popitem(last=False)

    async def _collect(self, trace_id: str, reply: Reply) -> None:
        peers = () if self.peers is None else await self.peers.ask(GetPeers())
        names = frozenset(peer.vm for peer in peers)
        self.tell(_StartCollection(trace_id, names, COLLECT_TIMEOUT_S, reply))

    async def _answer_peer(self, vm: str, data_centre: str, trace_id: str) -> None:
        def reply(spans: tuple[Span, ...]) -> None:
            self.peers.tell(SendTo(vm, TraceSpans(trace_id, tuple(map(tuple, spans)))))

        names = frozenset()
        if data_centre != self.data_centre:
            peers = await self.peers.ask(GetPeers())
            names = frozenset(p.vm for p in peers if p.data_centre == self.data_centre)
        self.tell(_StartCollection(trace_id, names, RELAY_TIMEOUT_S, reply))

    def _start_collection(self, message: _StartCollection) -> None:
        collection = _Collection(message.trace_id, set(message.names), message.reply)
        self._collections.append(collection)
        for vm in message.names:
            self.peers.tell(SendTo(vm, TraceRequest(message.trace_id)))
        if message.names:
            self.start(self._expire(collection, message.timeout))
        else:
            self._finish_collection(collection)

    async def _expire(self, collection: _Collection, timeout: float) -> None:
        await asyncio.sleep(timeout)
        self.tell(_Expired(collection))

    def _add_peer_spans(self, vm: str, trace_id: str, spans: tuple[tuple, ...]) -> None:
        for collection in list(self._collections):
            if collection.trace_id != trace_id or vm not in collection.pending:
                continue
            collection.pending.discard(vm)
            collection.spans.extend(Span(*fields) for fields in spans if is_span(fields))
            if not collection.pending:
                self._finish_collection(collection)

    def _finish_collection(self, collection: _Collection) -> None:
        if collection not in self._collections:
            return
        self._collections.remove(collection)
        own = self._traces.get(collection.trace_id, ())
        collection.reply(tuple(dict.fromkeys((*own, *collection.spans))))


def is_span(fields: tuple) -> bool:
    """Return whether fields from a peer have the number and the types of a span's fields."""
    types = tuple(Span.__annotations__.values())
    return len(fields) == len(types) and all(map(isinstance, fields, types))
