"""Guards against frames that raise anything but a codec error, and against round-trip changes."""

import math
from typing import get_args

import cbor2
import msgspec
import pytest
from hypothesis import HealthCheck, given
from hypothesis import strategies as st

from greengagehoist.codec import MAX_FRAME_BYTES, FrameError
from greengagehoist.peers import Goodbye, Heartbeat, LeaveMark, PeerMessage
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.standins._profiles import property_settings

FUZZ = property_settings(200, suppress_health_check=[HealthCheck.too_slow])
INT64 = st.integers(-(2**63), 2**63 - 1)
PLAIN = st.recursive(
    st.none() | st.booleans() | INT64 | st.text() | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=10,
)
ANYTHING = st.recursive(
    PLAIN | st.binary() | st.integers() | st.dates() | st.decimals() | st.floats(),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text() | st.integers(), inner, max_size=3),
    max_leaves=10,
)
BY_FIELD_TYPE = {
    str: st.text(),
    bytes: st.binary(max_size=50),
    int: INT64,
    float: st.floats(allow_nan=False),
    float | None: st.none() | st.floats(allow_nan=False),
    bool: st.booleans(),
    tuple[LeaveMark, ...]: st.lists(st.builds(LeaveMark, st.text(), INT64), max_size=3).map(tuple),
    tuple[float, ...]: st.lists(st.floats(allow_nan=False), max_size=3).map(tuple),
    tuple[int, ...]: st.lists(INT64, max_size=3).map(tuple),
    tuple[str, ...]: st.lists(st.text(), max_size=3).map(tuple),
    tuple[tuple[int, ...], ...]: st.lists(st.lists(INT64, max_size=4).map(tuple), max_size=3).map(
        tuple
    ),
    tuple[tuple, ...]: st.lists(st.lists(st.text()).map(tuple), max_size=3).map(tuple),
}


def messages_of(kind):
    fields = {
        name: BY_FIELD_TYPE.get(field_type, st.dictionaries(st.text(), PLAIN, max_size=3))
        for name, field_type in kind.__annotations__.items()
    }
    return st.builds(kind, **fields)


MESSAGES = st.one_of([messages_of(kind) for kind in get_args(PeerMessage)])


def decode(frame):
    """Return the decoded message or the codec error; any other exception fails the test."""
    try:
        return PEER_CODEC.decode(frame)
    except FrameError as exc:
        return exc


def test_every_message_type_has_a_unique_tag():
    assert set(PEER_CODEC.tags) == set(get_args(PeerMessage))
    assert len(set(PEER_CODEC.tags.values())) == len(PEER_CODEC.tags)


@FUZZ
@given(MESSAGES)
def test_messages_survive_a_round_trip(message):
    decoded = PEER_CODEC.decode(PEER_CODEC.encode(message))
    assert decoded == message and type(decoded) is type(message)


@FUZZ
@given(st.binary(max_size=300))
def test_random_bytes_give_a_message_or_a_codec_error(frame):
    decode(frame)


@FUZZ
@given(ANYTHING)
def test_random_values_give_a_message_or_a_codec_error(value):
    decode(cbor2.dumps(value))


@FUZZ
@given(st.sampled_from(sorted(PEER_CODEC.tags.values())), st.lists(ANYTHING, max_size=7))
def test_random_fields_give_a_message_that_fits_its_schema_or_a_codec_error(tag, fields):
    found = decode(cbor2.dumps([tag, *fields]))
    if not isinstance(found, FrameError):
        assert msgspec.convert(msgspec.to_builtins(found), type=type(found)) == found


@FUZZ
@given(MESSAGES, st.data())
def test_damaged_frames_give_a_message_or_a_codec_error(message, data):
    frame = bytearray(PEER_CODEC.encode(message))
    index = data.draw(st.integers(0, len(frame) - 1))
    frame[index] ^= data.draw(st.integers(1, 255))
    decode(bytes(frame))
    decode(bytes(frame[:index]))


@FUZZ
@given(MESSAGES, st.binary(min_size=1, max_size=5))
def test_bytes_after_the_message_are_refused(message, rest):
    assert isinstance(decode(PEER_CODEC.encode(message) + rest), FrameError)


def test_unknown_type_is_ignored():
    assert PEER_CODEC.decode(cbor2.dumps([65535, "later"])) is None


CYCLIC = b"\x82\x05\xd8\x1c\x81\xd8\x1d\x00"
MANY_SHARED = cbor2.dumps([5, 1, {"a": [[0] * 100] * 100}])


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"",
        b"\x80",
        b"\x81\x61a",
        CYCLIC,
        cbor2.dumps([5, 1, {"a": {1: 2}}]),
        cbor2.dumps([5, 1, {"a": b"bytes"}]),
        cbor2.dumps([True, "a"]),
        cbor2.dumps([17, "service", [b"bytes"]]),
        cbor2.dumps([3, b"bytes"]),
        b"\x81" * 10_000 + b"\x01",
        b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
        cbor2.dumps([2, 1, 1, True, 1, 0.5, [["t", "x"]]]),
        cbor2.dumps([4, "t"]),
        cbor2.dumps([4, "t", 1, 2]),
        b"\x00" * (MAX_FRAME_BYTES + 1),
    ],
)
def test_malformed_frame_is_refused(frame):
    assert isinstance(decode(frame), FrameError)


def test_too_large_a_message_is_not_encoded():
    with pytest.raises(FrameError):
        PEER_CODEC.encode(Goodbye("x" * (MAX_FRAME_BYTES + 1)))


def test_heartbeat_is_small():
    beat = Heartbeat(86_400 * 30, 1_000_000, True, 500, math.pi / 4, ())
    assert len(PEER_CODEC.encode(beat)) <= 32
