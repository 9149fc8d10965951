"""Guards against transfers that begin anew, and against hubs that send to all daemons at once."""

import random

import pytest

from greengagehoist.transfers import (
    MAX_PAYLOAD_BYTES,
    PIECE_BYTES,
    ContentVersions,
    Intake,
    TransferSlots,
    add_piece,
    begin_intake,
    content_token,
    finish_intake,
)
from greengagehoist.transfers._slots import IDLE_S, MAX_WAIT_S
from greengagehoist.transfers._versions import MAX_EARLIER_VERSIONS, MAX_PAYLOADS

# The rest of the text does not compress, so that the change is the smaller payload.
REST = random.Random(1).randbytes(200).hex()
TEXTS = [f'[{{"version":{number}}},{{"a":1}},{{"b":"{REST}"}}]' for number in range(20)]
TOKENS = [content_token(text) for text in TEXTS]


@pytest.fixture
def versions():
    """Return versions of which the texts 0 to 3 have been noted."""
    found = ContentVersions()
    for token, text in zip(TOKENS[:4], TEXTS, strict=False):
        found.note(token, text)
    return found


def receive(payload, base_content, intake=None, until=None):
    """Receive a payload in pieces of two bytes; return the state, or the content at its end."""
    if intake is None:
        intake = begin_intake(payload.token, payload.base, payload.digest, len(payload.data))
    while not intake.is_complete and (until is None or len(intake.data) < until):
        offset = len(intake.data)
        intake = add_piece(intake, offset, payload.data[offset : offset + 2])
    return finish_intake(intake, base_content) if intake.is_complete else intake


def test_daemon_gets_the_change_from_the_version_that_it_holds(versions):
    payload = versions.payload(TOKENS[1])
    assert (payload.token, payload.base) == (TOKENS[3], TOKENS[1])
    assert receive(payload, TEXTS[1]) == TEXTS[3]
    assert versions.find(payload.digest) is payload


@pytest.mark.parametrize("known", ["", "unknown", TOKENS[3]])
def test_daemon_whose_version_is_unknown_gets_the_whole_content(versions, known):
    payload = versions.payload(known)
    assert payload.base == ""
    assert receive(payload, "") == TEXTS[3]


def test_daemon_gets_the_whole_content_if_the_change_is_larger():
    versions = ContentVersions()
    versions.note("old", "{},")
    versions.note("new", "{}," + "x" * 1000)
    assert versions.payload("old").base == ""


def test_versions_and_payloads_that_are_kept_are_bounded(versions):
    for token, text in zip(TOKENS, TEXTS, strict=True):
        versions.note(token, text)
        versions.payload("")
    held = [token for token in TOKENS if versions.payload(token).base]
    assert held == TOKENS[-1 - MAX_EARLIER_VERSIONS : -1]
    assert len(versions._payloads) <= MAX_PAYLOADS


def test_payload_that_is_being_sent_is_kept_while_others_are_encoded(versions):
    """Otherwise a transfer begins anew each time that some other changes are asked for."""
    sent = versions.payload("")
    for token, text in zip(TOKENS[4:], TEXTS[4:], strict=True):
        versions.note(token, text)
        versions.payload("")
        assert versions.find(sent.digest) is sent


def test_version_that_comes_back_is_the_newest_one(versions):
    versions.note(TOKENS[0], TEXTS[0])
    assert versions.payload(TOKENS[3]).token == TOKENS[0]


def test_transfer_goes_on_where_the_hub_before_ended(versions):
    """A transfer that was cut began anew, and on a slow link it never ended."""
    payload = versions.payload("")
    part = receive(payload, "", until=6)
    offer = payload.token, payload.base, payload.digest, len(payload.data)
    assert begin_intake(*offer, part) is part
    assert receive(payload, "", begin_intake(*offer, part)) == TEXTS[3]
    other = begin_intake(TOKENS[3], "", "other", len(payload.data), part)
    assert other.data == b""


def test_piece_that_was_not_asked_for_ends_the_transfer():
    intake = Intake("t", "", "d", 10, b"abc")
    assert add_piece(intake, 3, b"de").data == b"abcde"
    assert add_piece(intake, 2, b"de") is None
    assert add_piece(intake, 3, b"") is None
    assert add_piece(intake, 3, b"x" * 8) is None


@pytest.mark.parametrize("size", [0, -1, MAX_PAYLOAD_BYTES + 1])
def test_payload_of_an_impossible_size_is_refused(size):
    assert begin_intake("t", "", "d", size) is None


def test_content_that_does_not_match_its_token_is_refused(versions):
    payload = versions.payload(TOKENS[1])
    with pytest.raises(ValueError, match="token"):
        receive(payload, TEXTS[1].replace('"a":1', '"a":2'))
    damaged = payload._replace(data=payload.data[:-1] + b"x")
    with pytest.raises(ValueError, match="offered"):
        receive(damaged, TEXTS[1])


def test_transfers_at_once_are_bounded_and_a_place_is_freed():
    slots = TransferSlots(limit=2)
    assert [slots.admit(vm, "deployment", 0.0) for vm in "ab"] == [0.0, 0.0]
    assert 0 < slots.admit("c", "deployment", 0.1) <= MAX_WAIT_S
    assert slots.admit("a", "deployment", 0.2) == 0.0
    slots.end("b", "deployment")
    assert slots.admit("c", "deployment", 0.3) == 0.0
    # The receivers have given up.
    assert slots.admit("d", "deployment", 0.3 + 2 * IDLE_S) == 0.0
    assert slots.count(0.3 + 2 * IDLE_S) == 1


def test_wait_grows_with_the_number_of_daemons_that_wait():
    """Otherwise hundreds of daemons ask again ten times a second."""
    slots = TransferSlots(limit=2)
    waits = [slots.admit(f"vm-{number}", "deployment", 0.0) for number in range(40)]
    assert waits[:2] == [0.0, 0.0]
    assert waits[2] < waits[-1] <= MAX_WAIT_S


def test_piece_lets_heartbeats_pass_on_a_narrow_link():
    """A whole configuration held up the heartbeats of a link until it was declared dead."""
    assert PIECE_BYTES / 625_000 < 0.03
