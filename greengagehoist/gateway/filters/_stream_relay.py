"""Relays the stream of a replica to the client."""

from collections.abc import Callable

from greengagehoist.gateway import Exchange, Progress, Reply, StreamEnded
from greengagehoist.gateway._events import EventSplitter
from greengagehoist.gateway.filters._buffer_space import BufferSpace
from greengagehoist.gateway.filters._send_log import log_invalid_response
from greengagehoist.http1 import (
    MAX_EVENT_BYTES,
    UNRESERVED_BYTES,
    IncompleteError,
    ProtocolError,
    ResponseHead,
    ResponseReader,
    get_header,
)
from greengagehoist.replicas import Replica
from greengagehoist.retries import Broken, SendEnd, is_retryable
from greengagehoist.utils import Clock, log_event

EVENT_STREAM = b"text/event-stream"


def new_splitter(exchange: Exchange) -> EventSplitter:
    """Return a splitter that continues the client's stream if the route allows it."""
    resumable = is_retryable(exchange.route.kind)
    return EventSplitter(exchange.req.last_event_id if resumable else None)


async def relay_stream(
    exchange: Exchange,
    replica: Replica,
    head: ResponseHead,
    reader: ResponseReader,
    clock: Clock,
    on_first_bytes: Callable[[], None],
    space: BufferSpace,
) -> Reply | SendEnd:
    """Send the client the whole events that the replica sends, or any other body as it comes.

    :param on_first_bytes: called when the replica has begun the body.
    :param space: memory for the beginning of a large event.
    """
    progress, splitter = exchange.progress, exchange.progress.splitter
    try:
        data = await _first_bytes(reader, head, progress)
        on_first_bytes()
        if not progress.started:
            exchange.sink.start(head)
            progress.started = True
            splitter.can_resume &= _is_event_stream(head)
        while data:
            ready = splitter.feed(data) if _is_event_stream(head) else data
            if ready:
                progress.answer_begun_at = progress.answer_begun_at or clock.monotonic()
                await exchange.sink.send(ready)
            if splitter.partial_bytes > UNRESERVED_BYTES:
                await space.reserve(MAX_EVENT_BYTES)
            else:
                space.release()
            data = await reader.chunk()
        splitter.check_end()
    except (IncompleteError, ProtocolError) as exc:
        if isinstance(exc, ProtocolError):
            log_invalid_response(exchange, replica, exc)
        _log_stream_end(exchange, replica, reader, str(exc))
        splitter.discard_partial()
        return Broken()
    _log_stream_end(exchange, replica, reader, "end of the response")
    rest = splitter.flush()
    if rest:
        await exchange.sink.send(rest)
    return StreamEnded()


async def _first_bytes(reader: ResponseReader, head: ResponseHead, progress: Progress) -> bytes:
    """Return the first bytes of the body, empty if the answer is complete without any.

    :raises IncompleteError: if the connection ends before the first byte.
    :raises ProtocolError: if the answer does not continue a stream that has started.
    """
    is_resumed, last_id = progress.started, progress.splitter.last_id
    if is_resumed and not _is_event_stream(head):
        raise ProtocolError("resumed stream is not an event stream")
    data = await reader.chunk()
    if not data and reader.ends_with_connection:
        raise IncompleteError("connection closed before the first byte of the stream")
    has_type = get_header(head.headers, b"content-type") is not None
    if not data and is_resumed and (last_id is None or not has_type):
        # A stream that broke off after its last event is resumed by an event stream without events.
        # An empty body of an unknown type, or before any event, does not prove that nothing is
        # missing.
        raise ProtocolError("resumed stream is empty")
    return data


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether the body consists of events, as it does unless the replica names a type."""
    content_type = get_header(head.headers, b"content-type") or EVENT_STREAM
    return content_type.strip().lower().startswith(EVENT_STREAM)


def _log_stream_end(exchange: Exchange, replica: Replica, reader: ResponseReader, end: str) -> None:
    progress, prompt = exchange.progress, exchange.req.prompt
    splitter, begun_at = progress.splitter, progress.answer_begun_at
    first_event_s = begun_at - exchange.arrived if begun_at is not None else None
    log_event(
        "stream_ended",
        request=exchange.req.request_id,
        replica=replica.replica_id,
        end=end,
        framing="connection" if reader.ends_with_connection else "message",
        last_event=splitter.last_id,
        partial_bytes=splitter.partial_bytes,
        tokens_in=prompt.tokens_in if prompt is not None else "",
        first_event_ms="" if first_event_s is None else round(first_event_s * 1000),
    )
