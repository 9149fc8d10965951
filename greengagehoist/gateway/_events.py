"""Splits an event stream into whole events, so that another replica can resume it."""

from greengagehoist.http1 import MAX_EVENT_BYTES, ProtocolError

EVENT_END = b"\n\n"


class EventSplitter:
    """Returns whole events only and records the id of the last one.

    :param last_id: id of the last event that the client received, or None.
    """

    def __init__(self, last_id: int | None = None):
        self.last_id = last_id
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes.

        :raises ProtocolError: if an event exceeds ``MAX_EVENT_BYTES``.
        """
        text = self._partial + data
        end = text.rfind(EVENT_END)
        if end < 0:
            if len(text) > MAX_EVENT_BYTES:
                raise ProtocolError(f"event of a stream exceeds {MAX_EVENT_BYTES} bytes")
            self._partial = text
            return b""
        whole, self._partial = text[: end + 2], text[end + 2 :]
        self.last_id = _last_event_id(whole, self.last_id)
        return whole

    @property
    def partial_bytes(self) -> int:
        """Number of bytes after the last whole event."""
        return len(self._partial)

    def discard_partial(self) -> None:
        """Discard an incomplete event after its replica has failed."""
        self._partial = b""

    def flush(self) -> bytes:
        """Return the bytes after the last whole event."""
        rest, self._partial = self._partial, b""
        return rest


def _last_event_id(events: bytes, default: int | None) -> int | None:
    for line in reversed(events.split(b"\n")):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if value.isdigit():
                return int(value)
    return default
