"""Splits an event stream into whole events, so that another replica can resume it."""

import re
from collections.abc import Iterator
from itertools import groupby

from greengagehoist.http1 import (
    MAX_EVENT_BYTES,
    MAX_EVENT_GAP_BYTES,
    IncompleteError,
    ProtocolError,
)

# A blank line ends an event; a stream may use any of the three line endings.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
# Digits of an id that is compared with others; 128 bits have 39.
MAX_ID_DIGITS = 39
FIELD_NAME = re.compile(rb"[a-z][a-z0-9_-]*")
EVENT_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
# Header fields of HTTP messages, which are no fields of events.
MESSAGE_FIELDS = frozenset(
    {b"connection", b"content-length", b"content-type", b"transfer-encoding"}
)


class EventSplitter:
    """Returns whole events only, checks that their ids increase and records the last id.

    :param last_id: id of the last event that the client received, or None.
    :ivar events: number of events that were returned.
    :ivar can_resume: whether another replica can continue after what was returned; False after an
        event without an id.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self.events = 0
        self.can_resume = True
        self._partial = b""
        self._gap_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes.

        :raises ProtocolError: if an event exceeds ``MAX_EVENT_BYTES``, has a line that is no field,
            does not continue the stream, or follows more than ``MAX_EVENT_GAP_BYTES`` without an
            event. None of the events in ``data`` counts as received then.
        """
        text = self._partial + data
        end = _end_of_events(text)
        if end == 0:
            if len(text) > MAX_EVENT_BYTES:
                raise ProtocolError(f"event of a stream exceeds {MAX_EVENT_BYTES} bytes")
            self._partial = text
            return b""
        whole, self._partial = text[:end], text[end:]
        _check_fields(whole)
        events = self.events
        self._check_order(whole)
        self._gap_bytes = self._gap_bytes + len(whole) if self.events == events else 0
        if self._gap_bytes > MAX_EVENT_GAP_BYTES:
            raise ProtocolError(
                f"more than {MAX_EVENT_GAP_BYTES} bytes of a stream without an event"
            )
        return whole

    def _check_order(self, events: bytes) -> None:
        last_id, can_resume, count = self.last_id, self.can_resume, 0
        for event_id in _event_ids(events):
            count += 1
            if event_id is None:
                # Bytes that are no event, such as the text of an error, have no id either.
                if last_id is not None:
                    raise ProtocolError(f"event without an id after event {last_id}")
                can_resume = False
                continue
            if last_id is not None and event_id <= last_id:
                raise ProtocolError(f"event {event_id} after event {last_id}")
            last_id = event_id
        self.last_id, self.can_resume = last_id, can_resume
        self.events += count

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last whole event."""
        return len(self._partial)

    def check_end(self) -> None:
        """Check that the stream may end here.

        :raises IncompleteError: if it ends inside an event.
        """
        if self._partial.strip(b"\r\n"):
            raise IncompleteError("stream ended inside an event")

    def discard_partial(self) -> None:
        """Discard an incomplete event after its replica has failed."""
        self._partial = b""

    def flush(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest, self._partial = self._partial, b""
        return rest


def _end_of_events(text: bytes) -> int:
    """Return the position after the last whole event, 0 if there is none."""
    ends = ((text.rfind(end), len(end)) for end in EVENT_ENDS)
    return max(at + length if at >= 0 else 0 for at, length in ends)


def _check_fields(events: bytes) -> None:
    """Check that the lines of events are comments or fields.

    A replica that fails may write the head of an error into an event that it has begun.

    :raises ProtocolError: if a line is none.
    """
    for line in events.splitlines():
        name, colon, _ = line.partition(b":")
        is_field = name in EVENT_FIELDS or (colon and not name)
        if line and not is_field and not (colon and _may_be_field(name)):
            raise ProtocolError(f"line of a stream is no field of an event: {line[:40]!r}")


def _may_be_field(name: bytes) -> bool:
    return FIELD_NAME.fullmatch(name) is not None and name not in MESSAGE_FIELDS


def _event_ids(events: bytes) -> Iterator[int | None]:
    """Return the id of each event, None for one without an id.

    Blocks of lines without data and id, as comments, are no events.
    """
    for _, block in groupby(events.splitlines(), key=lambda line: not line):
        lines = [line for line in block if line.partition(b":")[0] in (b"data", b"id")]
        if lines:
            values = (line[3:].strip() for line in lines if line.startswith(b"id:"))
            ids = [event_id for item in values if (event_id := parse_event_id(item)) is not None]
            yield ids[-1] if ids else None


def parse_event_id(text: bytes) -> int | None:
    """Return the id of an event as a number, None if it is not a whole number."""
    # The conversion of thousands of digits raises an error.
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
