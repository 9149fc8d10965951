"""Guards against a progress timeout that stays too short when a target becomes slower."""

from greengagehoist.targets._progress import FIRST_S, RECOMPUTE_EVERY, SHORTEST_S, ProgressTimes


def observe(times, wait, count):
    for _ in range(count):
        times.observe(wait)


def test_first_timeout_holds_until_there_are_samples():
    times = ProgressTimes()
    observe(times, 0.001, 10)
    assert times.timeout() == FIRST_S


def test_fast_target_gets_the_shortest_timeout():
    times = ProgressTimes()
    observe(times, 0.001, 200)
    assert times.timeout() == SHORTEST_S


def test_timeouts_raise_the_timeout_to_what_a_slower_target_needs():
    times = ProgressTimes()
    observe(times, 0.001, 200)
    needed = 3.0
    for _ in range(4 * RECOMPUTE_EVERY):
        times.observe(min(needed, times.timeout()))
    assert times.timeout() > needed
