"""Guards against oscillation and against weight loads beyond the rate limit of the store."""

import pytest

from greengagehoist.scaling import Grow, Hold, Replica, Shrink, Signal, StageScaler, choose_drain


@pytest.fixture
def scaler():
    """Return a scaler for 2 to 20 replicas."""
    return StageScaler(2, 20)


def signal(utilisation, ready=10, queue_wait=0.0, miss_rate=0.0, starting=0):
    """Return a signal of a stage."""
    return Signal(utilisation, queue_wait, miss_rate, ready, starting)


def test_grows_at_once_within_the_weight_store_rate(scaler):
    assert scaler.decide(signal(1.0), 10, 0.0) == Grow(3)
    assert scaler.decide(signal(1.0), 1, 0.0) == Grow(1)
    assert scaler.decide(signal(1.0), 0, 0.0) == Hold()


@pytest.mark.parametrize("late", [signal(0.5, queue_wait=2.0), signal(0.5, miss_rate=0.1)])
def test_grows_on_queueing_and_missed_deadlines(scaler, late):
    assert scaler.decide(late, 10, 0.0) == Grow(1)


def test_starting_replicas_count_towards_the_total(scaler):
    assert scaler.decide(signal(1.0, starting=3), 10, 0.0) == Hold()


def test_shrinks_only_after_sustained_low_utilisation(scaler):
    assert scaler.decide(signal(0.3), 10, 0.0) == Hold()
    assert scaler.decide(signal(0.7), 10, 20.0) == Hold()
    assert scaler.decide(signal(0.3), 10, 25.0) == Hold()
    assert scaler.decide(signal(0.3), 10, 50.0) == Hold()
    assert scaler.decide(signal(0.3), 10, 55.0) == Shrink()
    assert scaler.decide(signal(0.3), 10, 56.0) == Hold()


def test_keeps_the_minimum_number_of_replicas(scaler):
    for now in range(0, 100, 10):
        assert scaler.decide(signal(0.0, ready=2), 10, float(now)) == Hold()


def test_constant_load_does_not_oscillate(scaler):
    ready, changes = 10, 0
    for now in range(0, 2000, 5):
        match scaler.decide(signal(min(1.0, 5.0 / ready), ready), 10, float(now)):
            case Grow(count):
                ready, changes = ready + count, changes + 1
            case Shrink():
                ready, changes = ready - 1, changes + 1
    assert changes <= 5


def test_drains_the_least_loaded_replica_and_keeps_each_data_centre():
    replicas = [
        Replica("a", "dc0", 0),
        Replica("b", "dc1", 5, cached=10),
        Replica("c", "dc1", 1, cached=10),
        Replica("d", "dc1", 1, cached=2),
    ]
    assert choose_drain(replicas) == "d"
    assert choose_drain([]) is None
