"""Chaos test: runs real processes under traffic and faults, then checks the guarantees."""

import asyncio
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from benchmarks._chaos_faults import FaultInjector
from benchmarks._chaos_oracle import (
    Sample,
    Violation,
    check_bookings,
    check_plan,
    check_summaries,
    check_versions,
)
from benchmarks._chaos_traffic import Traffic
from greengagehoist.standins import Deployment, ProcessGroup, example_changes

CUSTOMERS = ("depot", "clerks")
CALLERS_PER_CUSTOMER = 6
MEAN_PAUSE_S = 0.2
MEAN_FAULT_PAUSE_S = 1.0
SETTLE_S = 5.0
SAMPLE_PERIOD_S = 0.5
EDIT_PERIOD_S = 5.0
MAX_VIOLATIONS_SHOWN = 20


class Operators:
    """Concurrent configuration edits, and samples of the active version of every daemon."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.samples: list[Sample] = []
        self.answers: Counter = Counter()
        self.stopping = False

    async def propose_changes(self, author: str) -> None:
        """Propose a change to one entry of the customers' plans until stopped."""
        number = 0
        while not self.stopping:
            daemon = self.rng.choice(self.deployment.daemons())
            status = await self.deployment.get(
                f"{self.deployment.address(daemon, 'operators')}/admin/status"
            )
            if status is not None:
                number += 1
                value = {"plan": "crew", "credential_sha256": f"{number:064x}"}
                change = {"section": "holdings", "key": f"spare-{author}", "value": value}
                base = status["config_version"]
                answer = await self.deployment.propose(daemon, base, [change], author)
                self.answers["accepted" if answer and "version" in answer else "refused"] += 1
            await asyncio.sleep(EDIT_PERIOD_S * self.rng.random())

    async def sample_versions(self) -> None:
        """Sample the active version of every daemon until stopped."""
        while not self.stopping:
            await self.sample_once()
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def sample_once(self) -> None:
        """Read the active version of every daemon once."""
        for name in self.deployment.daemons():
            number = self.deployment.incarnations.get(name, 0)
            url = f"{self.deployment.address(name, 'operators')}/admin/status"
            status = await self.deployment.get(url)
            if status is not None and number == self.deployment.incarnations.get(name, 0):
                sample = Sample(f"{name}/{number}", time.time(), status["config_version"])
                self.samples.append(sample)


async def run(group: ProcessGroup, seconds: float, seed: int) -> list[Violation]:
    """Run the deployment under traffic and faults and return the violated guarantees."""
    deployment = Deployment(group)
    await deployment.start()
    limits = {"requests_per_minute": 1200, "tokens_per_minute": 30_000, "concurrency": 64}
    await _apply_config(deployment, example_changes(CUSTOMERS), limits)
    traffic = Traffic(deployment, random.Random(seed + 1))
    faults = FaultInjector(deployment, random.Random(seed + 2))
    operators = Operators(deployment, random.Random(seed + 3))
    tasks = [
        asyncio.create_task(traffic.run(CUSTOMERS, CALLERS_PER_CUSTOMER, MEAN_PAUSE_S)),
        asyncio.create_task(faults.run(MEAN_FAULT_PAUSE_S)),
        asyncio.create_task(operators.propose_changes("first")),
        asyncio.create_task(operators.propose_changes("second")),
        asyncio.create_task(operators.sample_versions()),
    ]
    await asyncio.sleep(seconds)
    faults.stopping = True
    await tasks[1]
    await asyncio.sleep(SETTLE_S)
    traffic.stopping = operators.stopping = True
    await asyncio.gather(*tasks)
    await asyncio.sleep(SETTLE_S)
    await operators.sample_once()
    return await _check_guarantees(deployment, traffic, faults, operators, limits)


async def _apply_config(deployment: Deployment, changes: list[dict], limits: dict) -> None:
    for change in changes:
        if change["section"] == "usage":
            change["value"]["limits"] = limits
    await deployment.propose("entry-0", 0, changes, "chaos")
    await deployment.wait_ready()


async def _check_guarantees(deployment, traffic, faults, operators, limits) -> list[Violation]:
    runs = await deployment.service_runs()
    rows = await deployment.get(f"{deployment.platform}/table/range?prefix=config/")
    accepted = max(int(row["key"].removeprefix("config/")) for row in rows["rows"])
    print(f"daemons: {deployment.entry_vms}, faults: {faults.applied}")
    print(f"bookings: {dict(Counter(item.outcome for item in traffic.bookings))}")
    print(f"pipelines: {dict(Counter(item.outcome for item in traffic.summaries))}")
    print(f"operators: {dict(operators.answers)}, versions accepted: {accepted}")
    final = {s.daemon: s.version for s in operators.samples[-len(deployment.daemons()) :]}
    behind = [name for name, version in final.items() if version != accepted]
    violations = [
        *check_bookings(traffic.bookings, runs),
        *check_summaries(traffic.summaries),
        *check_plan(traffic.summaries, limits["requests_per_minute"], limits["tokens_per_minute"]),
        *check_versions(operators.samples, accepted),
    ]
    if behind:
        violations.append(Violation("configuration not active on all daemons", ", ".join(behind)))
    return violations


@click.command()
@click.option("--seconds", default=60.0, show_default=True, help="Duration of the faults.")
@click.option("--seed", default=1, show_default=True, help="Seed of traffic and faults.")
@click.option("--logs", default="", help="Existing folder that keeps the processes' logs.")
def main(seconds: float, seed: int, logs: str) -> None:
    """Run a deployment under faults; exit code 1 if a guarantee was violated."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(Path(logs or folder))
        try:
            violations = asyncio.run(run(group, seconds, seed))
        finally:
            group.stop_all()
    for violation in violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"BROKEN {violation.rule}: {violation.detail}")
    print(f"chaos: seed {seed}, {seconds:.0f} s, {len(violations)} broken guarantees")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
