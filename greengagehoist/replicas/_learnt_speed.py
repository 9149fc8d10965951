"""Slowdown of replicas, as learnt from the times of their answers."""

import math
from collections.abc import Collection
from typing import NamedTuple

# A reported slowdown counts for this long. After that, the learnt mean is the better estimate where
# replicas are slow for some 0.6 s at a time.
SLOWDOWN_MAX_AGE_S = 0.25
# Answers that the estimate of the service counts for at a replica without answers.
PRIOR_WEIGHT = 2.0
# Answers that an estimate counts for at most, so that it follows a lasting change.
MAX_WEIGHT = 40.0
# An answer changes an estimate as if it differed by at most this, in the logarithm, because some take
# several times as long as usual. The bound is wider while there are few answers.
MAX_DEVIATION = 0.3
MIN_SLOWDOWN = 0.05
MAX_SLOWDOWN = 20.0
# Replicas that are remembered.
MAX_REMEMBERED = 4096


class LearntSlowdown(NamedTuple):
    """An estimate of a slowdown.

    :param log: its natural logarithm.
    :param weight: answers that it counts for.
    """

    log: float = 0.0
    weight: float = 0.0

    @property
    def factor(self) -> float:
        """The duration of work relative to the usual one."""
        return math.exp(self.log)

    def observe(self, ratio: float) -> "LearntSlowdown":
        """Return the estimate after an answer that took ``ratio`` times as long as usual."""
        seen = math.log(min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio)))
        bound = MAX_DEVIATION + 1.0 / (1.0 + self.weight)
        deviation = min(bound, max(-bound, seen - self.log))
        weight = min(MAX_WEIGHT, self.weight + 1.0)
        return LearntSlowdown(self.log + deviation / weight, weight)


NOTHING_LEARNT = LearntSlowdown()


class LearntSpeeds:
    """Slowdown of each replica, with that of its service as the prior."""

    def __init__(self):
        self._replicas: dict[str, LearntSlowdown] = {}
        self._services: dict[str, LearntSlowdown] = {}
        self._priors: dict[str, LearntSlowdown] = {}

    def observe(self, replica_id: str, service: str, ratio: float) -> LearntSlowdown:
        """Add an answer that took ``ratio`` times as long as usual; return the new estimate."""
        prior = self._priors.get(service, NOTHING_LEARNT)
        learnt = self._replicas.pop(replica_id, prior).observe(ratio)
        self._replicas[replica_id] = learnt
        if len(self._replicas) > MAX_REMEMBERED:
            del self._replicas[next(iter(self._replicas))]
        mean = self._services.get(service, NOTHING_LEARNT).observe(ratio)
        self._services[service] = mean
        self._priors[service] = mean._replace(weight=min(PRIOR_WEIGHT, mean.weight))
        return learnt

    def of(self, replica_id: str, service: str) -> LearntSlowdown:
        """Return the estimate of a replica."""
        return self._replicas.get(replica_id) or self._priors.get(service, NOTHING_LEARNT)

    def learnt(self, replica_id: str) -> LearntSlowdown:
        """Return what answers of the replica itself have told."""
        return self._replicas.get(replica_id, NOTHING_LEARNT)

    def known(self) -> frozenset[str]:
        """Return the ids of the replicas with answers."""
        return frozenset(self._replicas)

    def keep(self, listed: Collection[str]) -> None:
        """Forget replicas that are not listed any more."""
        self._replicas = {key: item for key, item in self._replicas.items() if key in listed}

    def seed(self, replica_id: str, learnt: LearntSlowdown) -> None:
        """Start from what others have learnt, for a replica without answers."""
        if replica_id not in self._replicas and learnt.weight:
            weight = min(PRIOR_WEIGHT, learnt.weight)
            self._replicas[replica_id] = learnt._replace(weight=weight)
