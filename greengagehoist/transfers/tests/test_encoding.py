"""Guards against contents that differ after a transfer, and against payloads that cost memory."""

import random
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.standins._large_configuration import large_configuration
from greengagehoist.standins._profiles import property_settings
from greengagehoist.transfers import (
    MAX_CONTENT_BYTES,
    apply_change,
    content_token,
    decode_whole,
    encode_change,
    encode_whole,
    matches_token,
)

# Few different entries, so that runs repeat, and text that is no JSON.
TEXTS = st.lists(
    st.sampled_from(['{"a":1},', '{"b":[1],"c":"},"},', "],", "}", " ", "\n", "é", "[["]),
    max_size=30,
).map("".join)


@property_settings(300)
@given(TEXTS, TEXTS)
def test_change_leads_to_exactly_the_later_text(before, after):
    assert apply_change(before, encode_change(before, after)) == after
    assert decode_whole(encode_whole(after)) == after


@property_settings(200)
@given(TEXTS, TEXTS, st.data())
def test_damaged_payload_is_a_value_error_or_another_content(before, after, data):
    """The digest of the content is checked after that."""
    payload = bytearray(encode_change(before, after))
    payload[data.draw(st.integers(0, len(payload) - 1))] ^= data.draw(st.integers(1, 255))
    try:
        apply_change(before, bytes(payload))
    except ValueError:
        return


@pytest.mark.parametrize(
    "steps", [[[0, 9]], [[-1, 1]], [[0, -1]], [[5, 1]], [[1]], [{}], {}, ["x", None], [[2**70, 1]]]
)
def test_change_that_does_not_fit_is_refused(steps):
    with pytest.raises(ValueError):
        apply_change("{},{},", zlib.compress(msgspec.json.encode(steps)))


def test_payload_that_expands_without_end_is_refused():
    """A payload of some KB could take all memory."""
    bomb = zlib.compress(b"[" + b" " * (2 * MAX_CONTENT_BYTES) + b"]")
    run = zlib.compress(msgspec.json.encode([[0, 1]] * 1000))
    for payload in (bomb, bomb[:100], b"", b"x"):
        with pytest.raises(ValueError):
            decode_whole(payload)
        with pytest.raises(ValueError):
            apply_change("{},", payload)
    with pytest.raises(ValueError):
        apply_change("{}" + "x" * (MAX_CONTENT_BYTES // 10), run)


def test_token_ends_with_the_digest_of_the_content():
    token = content_token("text", "2.5")
    assert token.startswith("2.5/")
    assert matches_token("text", token) and matches_token("text", content_token("text"))
    assert not matches_token("other", token)


def text_of(**fields):
    return msgspec.json.encode(large_configuration(**fields)).decode()


def test_small_change_of_a_large_configuration_is_small():
    """Each change was sent whole, 461 KB to each daemon."""
    before = text_of(version=1, routes=1200, tenants=12_000)
    config = large_configuration(version=2, routes=1200, tenants=12_000, changed=1)
    del config["tenants"][5]
    random.Random(1).shuffle(config["services"])
    after = msgspec.json.encode(config).decode()
    change = encode_change(before, after)
    assert apply_change(before, change) == after
    assert len(change) < 1024
    assert len(encode_whole(after)) > 250_000
