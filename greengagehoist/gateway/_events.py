"""Splits an event stream into whole events, so that another replica can resume it."""

from greengagehoist.http1 import MAX_EVENT_BYTES, IncompleteError, ProtocolError

# A blank line ends an event; a stream may use any of the three line endings.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
# int() rejects several thousand digits.
MAX_ID_DIGITS = 1000


class EventSplitter:
    """Returns whole events only and records the id of the last one.

    :param last_id: id of the last event that the client received, or None.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes.

        :raises ProtocolError: if an event exceeds ``MAX_EVENT_BYTES``, or its id has more digits
            than ``MAX_ID_DIGITS``.
        """
        text = self._partial + data
        end = _end_of_events(text)
        if end == 0:
            if len(text) > MAX_EVENT_BYTES:
                raise ProtocolError(f"event of a stream exceeds {MAX_EVENT_BYTES} bytes")
            self._partial = text
            return b""
        whole, self._partial = text[:end], text[end:]
        self.last_id = _last_event_id(whole, self.last_id)
        return whole

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


def _last_event_id(events: bytes, default: int | None) -> int | None:
    for line in reversed(events.splitlines()):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if value.isdigit():
                if len(value) > MAX_ID_DIGITS:
                    raise ProtocolError(f"id of an event exceeds {MAX_ID_DIGITS} digits")
                return int(value)
    return default
