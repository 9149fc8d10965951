"""Guards against parts that crash replicas unnoticed, and against sound parts that are blamed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.quarantine import (
    Crash,
    ServiceEvidence,
    attribute_crashes,
    part_key,
    trial_delay_s,
)
from greengagehoist.quarantine._evidence import MAX_AGE_S, MAX_CRASHES, MAX_KEYS, MAX_PROMPTS

SYSTEM, DOC, BAD = 1, 2, 3
OTHERS = frozenset({90, 91})


def crash(number, at, *prompts, born_ms=1):
    return Crash(f"r{number}", born_ms, at, frozenset(prompts))


@pytest.fixture
def evidence():
    return ServiceEvidence()


def record_crashes(evidence, count, *parts, same_prompt=False):
    """Add crashes, each 1 s after the one before, under prompts with these shared parts."""
    for number in range(count):
        own = 1000 if same_prompt else 1000 + number
        evidence.record_crash(crash(number, 10.0 + number, (*parts, own)))


def test_part_of_two_crashes_is_held(evidence):
    record_crashes(evidence, 2, SYSTEM, BAD)
    evidence.record_answer(OTHERS | {SYSTEM}, 11.5)
    held = attribute_crashes(evidence)
    assert held.keys() == {BAD}
    assert held[BAD].crashes == 2
    assert held[BAD].trial_at == 11.0 + trial_delay_s(2)


def test_nothing_is_held_after_one_crash(evidence):
    record_crashes(evidence, 1, SYSTEM, BAD)
    evidence.record_answer(OTHERS, 10.5)
    assert attribute_crashes(evidence) == {}


def test_complete_answer_clears_a_part(evidence):
    """The first part of a prompt is in every request that crashes replicas, and in all others."""
    record_crashes(evidence, 3, SYSTEM, BAD)
    evidence.record_answer(frozenset({SYSTEM, DOC}), 12.5)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_answer_before_the_crash_clears_nothing(evidence):
    """A release may have brought the fault."""
    record_crashes(evidence, 2, BAD)
    assert not evidence.record_answer(frozenset({BAD}), 9.9)
    evidence.record_answer(OTHERS, 11.5)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_repeated_prompt_needs_one_more_crash(evidence):
    """A client's retry may meet two replicas that end for another reason."""
    record_crashes(evidence, 2, BAD, same_prompt=True)
    evidence.record_answer(OTHERS, 12.5)
    assert attribute_crashes(evidence) == {}
    record_crashes(evidence, 3, BAD, same_prompt=True)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_crashes_at_the_same_moment_count_once(evidence):
    """A rack or a data centre that fails ends many replicas; their prompts are not to blame."""
    for number in range(6):
        evidence.record_crash(crash(number, 10.0 + number * 0.02, (SYSTEM, BAD, 1000 + number)))
    evidence.record_answer(OTHERS, 11.0)
    assert attribute_crashes(evidence) == {}


def test_part_is_not_to_blame_for_a_replica_that_ended_beside_others(evidence):
    """Two racks that fail one after the other may both have requests of one document."""
    for number in range(3):
        evidence.record_crash(crash(number, 10.0 + number, (DOC, 1000 + number)))
        evidence.record_crash(crash(10 + number, 10.1 + number))
    evidence.record_answer(OTHERS, 13.0)
    assert attribute_crashes(evidence) == {}


def test_crashes_in_quick_succession_do_not_count_as_one(evidence):
    """Requests that come every 0.2 s would otherwise never be held back."""
    for number in range(10):
        evidence.record_crash(crash(number, 10.0 + number * 0.2, (BAD, 1000 + number)))
    evidence.record_answer(OTHERS, 10.5)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_part_is_not_held_while_the_service_answers_nobody(evidence):
    """A bad release ends replicas under any prompt."""
    record_crashes(evidence, 3, SYSTEM, BAD)
    assert attribute_crashes(evidence) == {}
    record_crashes(evidence, 5, SYSTEM, BAD)
    held = attribute_crashes(evidence)
    assert held.keys() == {SYSTEM, BAD}
    # Without an answer to others the next trial stays near, so that recovery is noticed.
    assert held[BAD].trial_at == 14.0 + trial_delay_s(2)


def test_answers_count_again_after_crashes_with_another_cause(evidence):
    """The first crash, beside one without the part, was not to blame; later answers were not counted."""
    evidence.record_crash(crash(0, 10.0, (SYSTEM, BAD, 1000)))
    evidence.record_crash(crash(1, 10.1, (SYSTEM, DOC, 1001)))
    evidence.record_answer(frozenset({SYSTEM, DOC}), 10.5)
    for number, at in enumerate((12.0, 13.0)):
        evidence.record_crash(crash(2 + number, at, (SYSTEM, BAD, 1002 + number)))
        assert BAD in evidence.awaiting_others()
        assert evidence.record_answer(frozenset({SYSTEM, DOC}), at + 0.5)
        assert not evidence.record_answer(frozenset({SYSTEM, DOC}), at + 0.6)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_crashes_of_a_held_part_do_not_count_against_its_companions(evidence):
    for number in range(4):
        parts = (BAD, DOC) if number < 2 else (BAD,)
        evidence.record_crash(crash(number, 10.0 + number, (*parts, 1000 + number)))
    evidence.record_crash(crash(9, 20.0, (DOC, 2000)))
    evidence.record_answer(OTHERS, 20.5)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_two_bad_parts_are_both_held(evidence):
    for number in range(3):
        evidence.record_crash(crash(number, 10.0 + number, (SYSTEM, BAD, 1000 + number)))
        evidence.record_crash(crash(10 + number, 10.5 + number, (SYSTEM, 4, 2000 + number)))
    evidence.record_answer(OTHERS | {SYSTEM}, 13.0)
    assert attribute_crashes(evidence).keys() == {BAD, 4}


def test_rivals_may_be_tried_apart_at_once(evidence):
    """A caller must not have another's part held by sending it together with a bad one."""
    record_crashes(evidence, 2, DOC, BAD)
    evidence.record_answer(OTHERS, 11.5)
    held = attribute_crashes(evidence)
    assert held[DOC].rivals == {BAD}
    assert held[DOC].trial_at_with(frozenset({SYSTEM, DOC})) == 0.0
    assert held[DOC].trial_at_with(frozenset({DOC, BAD})) == held[DOC].trial_at
    evidence.record_answer(frozenset({SYSTEM, DOC}), 12.0)
    assert attribute_crashes(evidence).keys() == {BAD}


def test_each_failed_trial_defers_the_next():
    delays = [trial_delay_s(count) for count in range(2, 9)]
    assert delays == sorted(delays)
    assert delays[1] > delays[0]
    assert delays[-1] == delays[-2]


def test_last_part_is_never_held(evidence):
    for number in range(5):
        evidence.record_crash(crash(number, 10.0 + number, (SYSTEM, BAD)))
    evidence.record_answer(frozenset({SYSTEM}), 15.0)
    assert attribute_crashes(evidence) == {}


def test_evidence_expires(evidence):
    record_crashes(evidence, 2, BAD)
    evidence.record_answer(OTHERS, 11.5)
    evidence.expire(11.0 + MAX_AGE_S)
    assert attribute_crashes(evidence) == {}
    assert evidence.crashes == ()


def test_evidence_is_bounded(evidence):
    """Clients choose how many parts a prompt has and what they are called."""
    for number in range(3 * MAX_CRASHES):
        prompts = [tuple(range(item, item + 400)) for item in range(3 * MAX_PROMPTS)]
        evidence.record_crash(crash(number, 10.0 + number, *prompts))
    assert len(evidence.crashes) == MAX_CRASHES
    for item in evidence.crashes:
        assert len(item.prompts) <= MAX_PROMPTS
        assert sum(len(prompt) for prompt in item.prompts) <= MAX_KEYS
    assert part_key("x" * 10_000) < 2**56


prompts_of_crashes = st.lists(
    st.tuples(st.integers(0, 3), st.integers(0, 20), st.lists(st.integers(1, 6), max_size=4)),
    max_size=12,
)


@given(prompts_of_crashes, st.randoms(use_true_random=False))
def test_order_of_reports_does_not_matter(reports, rng):
    """Daemons that hear of the same crashes in another order must hold the same parts."""
    crashes = [
        crash(replica, 10.0 + at, (*parts, 100 + index), born_ms=at)
        for index, (replica, at, parts) in enumerate(reports)
    ]
    shuffled = rng.sample(crashes, len(crashes))
    results = []
    for order in (crashes, shuffled):
        evidence = ServiceEvidence()
        for item in order:
            evidence.record_crash(item)
        evidence.record_answer(OTHERS, 100.0)
        results.append(attribute_crashes(evidence))
    assert results[0] == results[1]


def test_second_report_of_a_crash_adds_its_prompts(evidence):
    """Each daemon knows only its own requests at a replica."""
    assert evidence.record_crash(crash(1, 10.0, (DOC, 100))) is not None
    merged = evidence.record_crash(crash(1, 10.01, (BAD, 101)))
    assert merged.prompts == {(DOC, 100), (BAD, 101)}
    assert merged.at == 10.0
    assert evidence.record_crash(crash(1, 10.02, (BAD, 101))) is None
    assert len(evidence.crashes) == 1
