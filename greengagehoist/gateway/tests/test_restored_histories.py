"""Guards against keys confirmed by a copy of the store and changes lost after it is restored.

Histories of writes, restores, reads with late answers, relays and restarts are drawn at random. The
checks know what the store has acknowledged, and look only at what each daemon holds.
"""

import random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.deployment import Deployment, Limits
from greengagehoist.gateway.controllers._held_deployment import (
    OPERATOR_RETURN_S,
    HeldDeployment,
    InForce,
    apply_confirmation,
    apply_own_read,
    apply_shared_read,
)
from greengagehoist.platform_client import DeploymentRead, Revision
from greengagehoist.standins._profiles import property_settings

STEP_S = 0.1
PERIOD_S = 1.2
RETRY_S = 0.3
MAX_LATENCY_S = 0.9
MAX_COPY_AGE_S = 9.0
STEPS = 300
SETTLE_S = 8.0
# Two reads, of which one is lost with the era, and their answers, each a step after its read.
IN_FORCE_S = PERIOD_S + RETRY_S + 2 * MAX_LATENCY_S + 4 * STEP_S


class Copy(NamedTuple):
    """Row and counter of the store at one moment."""

    at: float
    counter: int
    row: Revision
    version: int


class Answer(NamedTuple):
    """A read of the store that is on its way.

    :param served_at: time at which the store reads the row.
    :param read: None before that.
    """

    due: float
    served_at: float
    sent_at: float
    known: Revision
    read: DeploymentRead | None = None


class ModelStore:
    """Store with one row, which the operator writes again after each restore."""

    def __init__(self):
        self.era, self.counter = 1, 0
        self.row, self.version = Revision(1, 0), 0
        self.copies: list[Copy] = []
        # Time, version and era of each write.
        self.acknowledged: list[tuple[float, int, int]] = []
        self.rewrite_at = float("inf")

    def write(self, now, version):
        """Write a version, which is the operator's newest one."""
        self.counter += 1
        self.row, self.version = Revision(self.era, self.counter), version
        self.acknowledged.append((now, version, self.era))
        self.rewrite_at = float("inf")

    def restore(self, rng, now):
        """Go back to a copy; the operator writes again soon if the copy lacks something."""
        copy = rng.choice([item for item in self.copies if now - item.at <= MAX_COPY_AGE_S])
        self.era, self.counter = self.era + 1, copy.counter
        self.row, self.version = Revision(self.era, copy.row.version), copy.version
        if self.version != self.newest:
            self.rewrite_at = now + rng.uniform(0.0, OPERATOR_RETURN_S - STEP_S)

    @property
    def newest(self):
        """The newest version that was acknowledged."""
        return self.acknowledged[-1][1]

    def answer(self, known):
        """Return a read of the row, as the codec decodes it."""
        if self.row == known:
            return DeploymentRead(None, self.row)
        return DeploymentRead(deployment(self.version), self.row, f"v{self.version}")


class ModelDaemon:
    """A daemon that reads the store or asks another daemon, one at a time."""

    def __init__(self, started_at):
        self.held = HeldDeployment()
        self.started_at = started_at
        self.next_read_at = started_at
        self.answer: Answer | None = None
        self.last_version = 0


def deployment(version):
    return Deployment(version, {}, {}, {}, True, Limits())


class Model:
    """A store and daemons, in steps of ``STEP_S``."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = ModelStore()
        self.store.write(self.now, 1)
        self.daemons = [ModelDaemon(self.now) for _ in range(self.rng.randint(1, 4))]
        while any(item.held.snapshot is None for item in self.daemons):
            self.step(faults=False)

    def run(self):
        """Play a history with faults and then a calm time."""
        calm_from = self.now + STEPS * STEP_S
        while self.now < calm_from + SETTLE_S:
            self.step(faults=self.now < calm_from)
        for daemon in self.daemons:
            assert daemon.held.version == self.store.newest
            assert self.now - daemon.held.snapshot.confirmed_at < 2 * PERIOD_S + MAX_LATENCY_S

    def step(self, faults):
        """Advance by one step."""
        self.now += STEP_S
        store, rng = self.store, self.rng
        store.copies.append(Copy(self.now, store.counter, store.row, store.version))
        if self.now >= store.rewrite_at:
            store.write(self.now, store.newest)
        if faults and rng.random() < 0.04:
            store.write(self.now, store.newest + rng.randint(1, 3))
        if faults and rng.random() < 0.03:
            store.restore(rng, self.now)
        if faults and rng.random() < 0.02:
            # The first daemon stays, as one that starts alone on a copy cannot know what it lacks.
            restarted = rng.randrange(len(self.daemons))
            if restarted:
                self.daemons[restarted] = ModelDaemon(self.now)
        for daemon in self.daemons:
            self.advance(daemon)
            self.check(daemon)

    def advance(self, daemon):
        """Let a daemon receive an answer or begin to read."""
        if daemon.answer is not None and not daemon.answer.read:
            if self.now >= daemon.answer.served_at:
                read = self.store.answer(daemon.answer.known)
                daemon.answer = daemon.answer._replace(read=read)
        elif daemon.answer is not None and self.now >= daemon.answer.due:
            answer, daemon.answer = daemon.answer, None
            self.ask_daemon(daemon, answer.read)
            daemon.held, outcome = apply_own_read(
                daemon.held, answer.read, answer.sent_at, self.now
            )
            self.schedule(daemon, outcome)
        elif daemon.answer is None and self.now >= daemon.next_read_at:
            if daemon.held.snapshot is not None and self.ask_hub(daemon):
                return
            latency_s = self.rng.uniform(0.0, MAX_LATENCY_S)
            served_at = self.now + self.rng.uniform(0.0, latency_s)
            daemon.answer = Answer(self.now + latency_s, served_at, self.now, daemon.held.row)

    def schedule(self, daemon, outcome):
        daemon.next_read_at = self.now + (PERIOD_S if outcome == InForce() else RETRY_S)

    def ask_daemon(self, daemon, read):
        """Take the configuration of a daemon that holds a newer one, or of any one at the start."""
        shown = read.deployment.version if read.deployment else 0
        newest = max(self.daemons, key=lambda item: item.held.version)
        starting = daemon.held.snapshot is None and newest.held.version
        if starting or newest.held.version > max(daemon.held.version, shown):
            self.take(daemon, newest)

    def ask_hub(self, daemon):
        """Ask another daemon, and return whether what it holds was usable."""
        hub = self.rng.choice(self.daemons)
        held = hub.held
        if hub is daemon or held.snapshot is None or self.rng.random() < 0.5:
            return False
        old = self.now - held.snapshot.confirmed_at > PERIOD_S
        if old or held.era < daemon.held.era:
            return False
        self.schedule(daemon, self.take(daemon, hub))
        return True

    def take(self, daemon, source):
        held, at = source.held, source.held.snapshot.confirmed_at
        if held.row == daemon.held.row:
            daemon.held, outcome = apply_confirmation(daemon.held, held.row, at, held.proven_era)
        else:
            read = DeploymentRead(held.snapshot.deployment, held.row, held.source)
            eras = held.era, held.proven_era
            daemon.held, outcome = apply_shared_read(daemon.held, read, at, self.now, *eras)
        return outcome

    def check(self, daemon):
        """Check what the daemon holds against what the store has acknowledged."""
        if daemon.held.snapshot is None:
            return
        version, confirmed_at = daemon.held.version, daemon.held.snapshot.confirmed_at
        assert version >= daemon.last_version, "went back to an older version"
        daemon.last_version = version
        later = [at for at, item, _ in self.store.acknowledged if item > version]
        if later:
            assert confirmed_at <= later[0], "confirmed although a newer version was acknowledged"
        # What was written before the restore may have to be written again first.
        due = self.now - IN_FORCE_S
        written = [
            item for at, item, era in self.store.acknowledged if era == self.store.era and at <= due
        ]
        if written and daemon.started_at <= due:
            assert version >= written[-1], "an acknowledged version is not in force"


@property_settings(150)
@given(st.integers(0, 2**32))
def test_restores_neither_confirm_nor_lose_configurations(seed):
    Model(seed).run()
