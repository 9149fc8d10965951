"""Faults of the chaos test: each is applied, lasts for a random time and is then cleared."""

import asyncio
import random
import signal

from greengagehoist.standins import Deployment

DURATION_RANGE_S = (0.5, 4.0)


class FaultInjector:
    """Applies faults drawn from a seeded generator until stopped."""

    def __init__(self, deployment: Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.applied: dict[str, int] = {}
        self.stopping = False

    async def run(self, pause_s: float) -> None:
        """Apply one fault after another, with ``pause_s`` seconds between them on average."""
        faults = (
            self.kill_daemon,
            self.replace_daemon,
            self.pause_daemon,
            self.disturb_platform,
            self.disturb_target,
            self.replace_target,
        )
        while not self.stopping:
            fault = self.rng.choice(faults)
            self.applied[fault.__name__] = self.applied.get(fault.__name__, 0) + 1
            await fault()
            await asyncio.sleep(pause_s * 2 * self.rng.random())

    def _random_duration(self) -> float:
        return self.rng.uniform(*DURATION_RANGE_S)

    async def kill_daemon(self) -> None:
        """Kill a daemon and start a replacement."""
        name = self.rng.choice(self.deployment.daemons())
        self.deployment.kill(name)
        await asyncio.sleep(self._random_duration())
        await self._start_daemon(name)

    async def replace_daemon(self) -> None:
        """Stop a daemon gracefully and start a replacement."""
        name = self.rng.choice(self.deployment.daemons())
        self.deployment.vms[name]["state"] = "leaving"
        await self.deployment.publish_vms()
        await asyncio.to_thread(self.deployment.group.stop, name)
        await self._start_daemon(name)

    async def _start_daemon(self, name: str) -> None:
        await asyncio.to_thread(self.deployment.start_daemon, name)
        await self.deployment.publish_vms()

    async def pause_daemon(self) -> None:
        """Suspend a daemon's process for a while to imitate a frozen VM."""
        name = self.rng.choice(self.deployment.daemons())
        self.deployment.group.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self._random_duration())
        self.deployment.group.signal(name, signal.SIGCONT)

    async def disturb_platform(self) -> None:
        """Make the platform fail, answer late, lose answers or go silent for a while."""
        faults = [{"down": True}, {"delay_s": 0.5}, {"lose_answers": 10}, {"silence": True}]
        await self._disturb("platform", self.rng.choice(faults))

    async def disturb_target(self) -> None:
        """Make a target fail, freeze, answer late, lose answers or go silent for a while."""
        faults = [
            {"down": True},
            {"freeze": True},
            {"delay_s": 0.3},
            {"lose_answers": 3},
            {"silence": True},
        ]
        name = self.rng.choice(self.deployment.targets())
        await self._disturb(name, self.rng.choice(faults))

    async def _disturb(self, name: str, faults: dict) -> None:
        url = f"{self.deployment.address(name, 'listening')}/control/faults"
        await self.deployment.put(url, faults)
        await asyncio.sleep(self._random_duration())
        await self.deployment.put(url, {})

    async def replace_target(self) -> None:
        """Make a target leave, wait for it to drain, kill it and start a replacement.

        Services are never replaced, because the oracle reads the runs that they recorded.
        """
        names = [n for n in self.deployment.targets() if not n.startswith("service-")]
        name = self.rng.choice(names)
        vm = self.deployment.vms[name]
        await self.deployment.put(f"{vm['address']}/control/leave", {})
        vm["state"] = "leaving"
        await self.deployment.publish_vms()
        await asyncio.sleep(DURATION_RANGE_S[1])
        self.deployment.kill(name)
        role = vm["role"]
        model = "summary" if role == "engine" else ""
        await asyncio.to_thread(self.deployment.start_target, role, model, vm["data_centre"])
        await self.deployment.publish_vms()
