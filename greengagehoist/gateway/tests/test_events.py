"""Guards against events of a stream that are lost, torn or taken for whole."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.gateway._events import EventSplitter
from greengagehoist.http1 import MAX_EVENT_GAP_BYTES, IncompleteError, ProtocolError

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def encode_stream(events, line_end):
    lines = (b"id: %d%bdata: x%b%b" % (n, line_end, line_end, line_end) for n in range(events))
    return b"".join(lines)


def is_whole(splitter):
    try:
        splitter.check_end()
    except IncompleteError:
        return False
    return True


@pytest.mark.parametrize("line_end", LINE_ENDS)
@given(st.data())
def test_only_a_stream_that_ends_between_events_is_whole(line_end, data):
    """A stream that was cut inside an event passed for a complete one."""
    stream = encode_stream(3, line_end)
    sizes = {len(encode_stream(n, line_end)): n for n in range(4)}
    cut = data.draw(st.integers(0, len(stream)), "cut")
    splits = sorted(data.draw(st.sets(st.integers(0, cut), max_size=6), "splits"))
    splitter, whole = EventSplitter(), b""
    for begin, end in zip([0, *splits], [*splits, cut], strict=True):
        whole += splitter.feed(stream[begin:end])
    assert is_whole(splitter) == (cut in sizes)
    assert whole == stream[: max(size for size in sizes if size <= cut)]
    events = sizes[len(whole)]
    assert splitter.last_id == (events - 1 if events else None)


def test_discarded_event_does_not_count_for_the_resumed_stream():
    splitter = EventSplitter()
    splitter.feed(b"id: 0\ndata: x\n\nid: 1\nda")
    splitter.discard_partial()
    splitter.feed(b"id: 1\ndata: x\n\n")
    splitter.check_end()
    assert splitter.last_id == 1


def test_event_id_that_no_number_holds_is_malformed():
    """int() raised ValueError, so that the request crashed instead of being sent again."""
    splitter = EventSplitter(4)
    with pytest.raises(ProtocolError, match="id"):
        splitter.feed(b"id: " + b"9" * 5000 + b"\ndata: x\n\n")
    assert splitter.last_id == 4


def encode_event(event_id):
    return b"data: x\n\n" if event_id is None else b"id: %d\ndata: x\n\n" % event_id


def continues(event_id, last_id):
    return last_id is None or (event_id is not None and event_id > last_id)


@given(
    st.none() | st.integers(0, 5),
    st.lists(st.lists(st.none() | st.integers(0, 9), min_size=1, max_size=3), max_size=6),
)
def test_only_events_with_increasing_ids_continue_a_stream(last_id, batches):
    """The beginning of another run, or the text of an error, passed for the rest of a stream."""
    splitter = EventSplitter(last_id)
    without_id = False
    for batch in batches:
        data = b"".join(map(encode_event, batch))
        expected, is_valid = last_id, True
        for event_id in batch:
            is_valid = is_valid and continues(event_id, expected)
            expected = expected if event_id is None else event_id
        if not is_valid:
            with pytest.raises(ProtocolError):
                splitter.feed(data)
            assert splitter.last_id == last_id
            break
        assert splitter.feed(data) == data
        last_id, without_id = expected, without_id or None in batch
        assert splitter.last_id == last_id
    assert splitter.can_resume == (not without_id)


@pytest.mark.parametrize("value", [b"x", b"-1", b"9" * 5000, b""])
def test_event_whose_id_is_no_number_does_not_continue_a_stream(value):
    """An id of thousands of digits raised an error outside the expected ones."""
    splitter = EventSplitter(1)
    with pytest.raises(ProtocolError):
        splitter.feed(b"id: %b\ndata: x\n\n" % value)


def test_comments_and_further_fields_are_no_events_without_ids():
    splitter = EventSplitter(1)
    events = b": wait\n\nweights: 3\nid: 2\ndata: x\n\n\n: wait\n\n"
    assert splitter.feed(events) == events
    assert splitter.last_id == 2
    assert splitter.can_resume


ERROR_HEADS = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503\r\ncontent-length: 0\r\n\r\n",
)


@pytest.mark.parametrize("head", ERROR_HEADS)
@pytest.mark.parametrize(
    "cut", [b"", b"i", b"id", b"id: 2\nda", b"id: 2\ndata: e", b"id: 2\ndata: e2\n"]
)
def test_head_of_an_error_inside_an_event_breaks_the_stream(cut, head):
    """The whole head was passed on as the rest of the event, and the stream looked complete."""
    splitter = EventSplitter(1)
    with pytest.raises(ProtocolError):
        splitter.feed(cut + head)


def test_blocks_without_data_and_id_are_no_events():
    splitter = EventSplitter(1)
    events = b"retry: 100\n\nid: 2\ndata\n\nretry: 5\n\n"
    assert splitter.feed(events) == events
    assert (splitter.last_id, splitter.can_resume) == (2, True)


@pytest.mark.parametrize("filler", [b"\n", b"\r\n", b": x\n\n", b"event: x\n\n"])
def test_bytes_without_an_event_are_limited(filler):
    """Guards against empty lines without end, which keep the daemon busy until the deadline."""
    splitter = EventSplitter()
    with pytest.raises(ProtocolError, match="without an event"):
        for _ in range(MAX_EVENT_GAP_BYTES // 512 + 2):
            splitter.feed(filler * 512)


def test_comments_between_events_do_not_add_up():
    splitter = EventSplitter()
    for number in range(200):
        splitter.feed(b": x\n\n" * 100)
        splitter.feed(b"id: %d\ndata: x\n\n" % number)
    assert splitter.last_id == 199
