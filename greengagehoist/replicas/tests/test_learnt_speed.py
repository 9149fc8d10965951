"""Guards against speeds that are learnt wrongly, and against figures that are used for too long."""

import random
import statistics

import pytest

from greengagehoist.replicas import (
    SLOWDOWN_MAX_AGE_S,
    LearntSlowdown,
    LearntSpeeds,
    OwnSends,
    PlainWork,
    PromptWork,
    ReplicaCounts,
)

SLOW_FRACTION, SLOW_FACTOR, SLOW_S = 0.15, 2.5, 0.6


class Noise:
    """A replica that is slow at random instants for a while."""

    def __init__(self, rng, seconds):
        gap_s = SLOW_S * (1 - SLOW_FRACTION) / SLOW_FRACTION
        self.spells, at = [], 0.0
        while at < seconds:
            at += rng.expovariate(1 / gap_s)
            self.spells.append((at, at + SLOW_S))
            at += SLOW_S

    def factor(self, at):
        return SLOW_FACTOR if any(a <= at < b for a, b in self.spells) else 1.0


@pytest.mark.parametrize("seed", range(6))
def test_speeds_are_learnt_in_spite_of_slow_spells(seed):
    """The order must be right after a few answers, and the ratios nearly so after more."""
    rng, speeds = random.Random(seed), LearntSpeeds()
    factors = {"fast": 0.6, "usual": 1.0, "slow": 1.6}
    noises = {name: Noise(rng, 200.0) for name in factors}
    for number in range(40):
        for name, factor in factors.items():
            noise = noises[name].factor(number * 5.0 + rng.random())
            speeds.observe(name, "s", factor * noise * rng.uniform(0.9, 1.1))
        if number == 9:
            found = [speeds.of(name, "s").factor for name in factors]
            assert found == sorted(found)
    usual = speeds.of("usual", "s").factor
    for name, factor in factors.items():
        assert speeds.of(name, "s").factor / usual == pytest.approx(factor, rel=0.15)


def test_replica_without_answers_counts_as_its_service():
    speeds = LearntSpeeds()
    for number in range(50):
        speeds.observe(f"r{number % 5}", "s", 1.5)
    assert speeds.of("new", "s").factor == pytest.approx(1.5, rel=0.05)
    assert speeds.of("new", "other").factor == 1.0


def test_lasting_change_is_followed():
    learnt = LearntSlowdown()
    for ratio in [1.0] * 500 + [2.0] * 120:
        learnt = learnt.observe(ratio)
    assert learnt.factor > 1.8


@pytest.mark.parametrize("ratio", [0.0, -1.0, 1e300, float("inf")])
def test_absurd_time_changes_the_estimate_little(ratio):
    learnt = LearntSlowdown()
    for _ in range(20):
        learnt = learnt.observe(1.0)
    assert learnt.observe(ratio).factor == pytest.approx(1.0, rel=0.05)


@pytest.mark.parametrize("seed", range(3))
def test_reported_slowdown_counts_only_while_it_is_better_than_the_mean(seed):
    """An older figure is worse than the learnt mean of a replica that is slow for 0.6 s at a time."""
    rng = random.Random(seed)
    noise = Noise(rng, 4_000.0)
    starts = [rng.uniform(0.0, 3_990.0) for _ in range(4_000)]
    mean = statistics.fmean(noise.factor(at) for at in starts)

    def error_of(age_s):
        return statistics.fmean((noise.factor(at + age_s) - noise.factor(at)) ** 2 for at in starts)

    error_of_mean = statistics.fmean((noise.factor(at) - mean) ** 2 for at in starts)
    assert error_of(0.8 * SLOWDOWN_MAX_AGE_S) < error_of_mean
    assert error_of(1.5 * SLOWDOWN_MAX_AGE_S) > error_of_mean


def test_request_counts_as_waiting_until_its_answer_begins():
    sends = OwnSends()
    sends.begin(1, "r", PromptWork(1000, 400, 50), True, 0.1, 0.0)
    assert sends.at("r") == ReplicaCounts(1, 600, 0, 1050)
    assert sends.begin_answer(1).usual_s == 0.1
    assert sends.begin_answer(1) is None
    assert sends.at("r") == ReplicaCounts(0, 0, 1, 1050)
    assert sends.end(1).replica_id == "r" and sends.counts() == {}
    assert sends.end(1) is None


def test_request_that_is_chosen_again_counts_once():
    sends = OwnSends()
    sends.begin(1, "r", PlainWork(), False, 0.1, 0.0)
    sends.begin(1, "other", PlainWork(), False, 0.1, 1.0)
    assert sends.counts() == {"other": ReplicaCounts(running=1)}
    assert sends.begin_answer(1) is None
