"""Guards against requests that all full replicas are asked to run, one after the other."""

import pytest

from greengagehoist.overload import ServiceRoom
from greengagehoist.overload._services import MAX_FULL_S, MAX_REMEMBERED

RUN_S, SLOTS, QUEUE = 0.072, 6, 24


@pytest.fixture
def room():
    made = ServiceRoom()
    for _ in range(200):
        made.observe_answer("s", "r0", RUN_S)
    return made


def test_replica_that_rejects_is_left_out_until_its_queue_is_shorter(room):
    room.observe_rejection("s", "r0", QUEUE, SLOTS, 0.0)
    part_s = QUEUE / SLOTS * RUN_S / 8
    assert room.is_full("s", "r0", 0.9 * part_s)
    assert not room.is_full("s", "r0", 1.1 * part_s)
    assert not room.is_full("s", "r1", 0.0)


def test_answer_shows_that_there_is_room(room):
    room.observe_rejection("s", "r0", QUEUE, SLOTS, 0.0)
    room.observe_answer("s", "r0", RUN_S)
    assert not room.is_full("s", "r0", 0.001)


def test_client_comes_back_when_half_of_a_queue_is_done(room):
    room.observe_rejection("s", "r0", QUEUE, SLOTS, 0.0)
    room.observe_rejection("s", "r1", QUEUE, SLOTS, 0.02)
    assert room.retry_after_s("s", 0.02, 2.0) == pytest.approx(2 * RUN_S - 0.02, rel=0.01)
    assert room.retry_after_s("s", 0.02, 0.11) == 0.11


def test_slow_service_is_tried_again_soon(room):
    for _ in range(200):
        room.observe_answer("slow", "r0", 30.0)
    room.observe_rejection("slow", "r0", 0, 0, 0.0)
    assert not room.is_full("slow", "r0", MAX_FULL_S)


def test_memory_is_bounded(room):
    for number in range(2 * MAX_REMEMBERED):
        room.observe_answer(f"s{number}", "r", RUN_S)
        room.observe_rejection(f"s{number}", "r", 0, 0, 0.0)
    assert len(room._run_s) <= MAX_REMEMBERED
    assert len(room._rejections) <= MAX_REMEMBERED
