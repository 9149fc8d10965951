"""A multi-data-centre deployment of the platform, daemons and targets as separate processes."""

import asyncio
import signal
import time
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from greengagehoist.standins._lists import STAGES
from greengagehoist.standins._processes import OPERATOR_CREDENTIAL, Process, ProcessGroup

CALL_FAILURES = (AiosonicError, OSError, ValueError, EOFError, TimeoutError)
READY_TIMEOUT_S = 20.0
CALL_TIMEOUTS = Timeouts(sock_connect=1, sock_read=3, request_timeout=3)


def new_client() -> aiosonic.HTTPClient:
    """Return a client for a single call.

    After a timeout aiosonic returns the connection to its pool although the response is still
    outstanding, so that a later call on the same client could read the response of an earlier one.
    """
    return aiosonic.HTTPClient()


class Deployment:
    """Starts, restarts and kills the processes, and sends control requests to them.

    :param data_centres: names; each gets one replica of every target.
    :param entry_vms: number of daemons, distributed round-robin over the data centres.
    :param step_s: duration of one token step of an engine in seconds.
    :param vm_lag_s: delay in seconds before a new VM list becomes visible.
    """

    def __init__(
        self,
        group: ProcessGroup,
        data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3", "dc4"),
        entry_vms: int = 7,
        step_s: float = 0.01,
        vm_lag_s: float = 1.0,
    ):
        self.group = group
        self.data_centres = data_centres
        self.entry_vms = entry_vms
        self.step_s = step_s
        self.vm_lag_s = vm_lag_s
        self.platform = ""
        self.vms: dict[str, dict[str, Any]] = {}
        self.incarnations: dict[str, int] = {}

    async def start(self) -> None:
        """Start the platform, the targets of all data centres and the daemons."""
        args = ("platform", "--vm-lag-s", str(self.vm_lag_s))
        self.platform = self.group.start_standin("platform", *args).addresses["listening"]
        for data_centre in self.data_centres:
            for role, model in STAGES:
                self.start_target(role, model, data_centre)
            self.start_target("service:job-desk", "", data_centre)
        await self.publish_vms()
        for index in range(self.entry_vms):
            self.start_daemon(f"entry-{index}")
        await self.publish_vms()

    def start_target(self, role: str, model: str, data_centre: str) -> None:
        """Start one replica as a new incarnation."""
        name = f"{role.replace(':', '-')}-{data_centre}"
        incarnation = self._next_incarnation(name)
        if model:
            args = ("engine", model, "--step-s", str(self.step_s))
        elif role.startswith("service:"):
            args = ("service", role.removeprefix("service:"))
        else:
            args = ("pool", role)
        process = self.group.start_standin(name, *args, "--incarnation", str(incarnation))
        self._add_vm(name, process.addresses["listening"], data_centre, role, incarnation)

    def start_daemon(self, name: str) -> Process:
        """Start a daemon as a new incarnation on new addresses."""
        number = int(name.removeprefix("entry-"))
        data_centre = self.data_centres[number % len(self.data_centres)]
        seeds = []
        for other in list(self.daemons())[:2]:
            seeds += ["--seed", self.group.processes[other].addresses["peers"]]
        process = self.group.start_daemon(name, data_centre, self.platform, *seeds)
        incarnation = self._next_incarnation(name)
        self._add_vm(name, process.addresses["peers"], data_centre, "entry", incarnation)
        return process

    def _next_incarnation(self, name: str) -> int:
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        return self.incarnations[name]

    def _add_vm(
        self, name: str, address: str, data_centre: str, role: str, incarnation: int
    ) -> None:
        self.vms[name] = {
            "vm": name,
            "address": address,
            "data_centre": data_centre,
            "role": role,
            "state": "live",
            "incarnation": incarnation,
        }

    def daemons(self) -> tuple[str, ...]:
        """Return the names of the running daemons."""
        return tuple(name for name in self.group.processes if name.startswith("entry-"))

    def targets(self) -> tuple[str, ...]:
        """Return the names of the running targets."""
        return tuple(n for n in self.group.processes if not n.startswith(("entry-", "platform")))

    def address(self, name: str, interface: str) -> str:
        """Return the ``ip:port`` of a process's interface, empty if it does not run."""
        process = self.group.processes.get(name)
        return process.addresses[interface] if process else ""

    async def publish_vms(self) -> None:
        """Send the current VM list to the platform."""
        await self.put(f"{self.platform}/control/vms", list(self.vms.values()))

    async def put(self, url: str, body: Any) -> None:
        """Send a control request to a stand-in; failures are ignored."""
        try:
            await new_client().request(f"http://{url}", "PUT", json=body, timeouts=CALL_TIMEOUTS)
        except CALL_FAILURES:
            return

    async def get(self, url: str) -> Any:
        """Send an operator or control request and return its JSON response, None on failure."""
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        try:
            response = await new_client().request(
                f"http://{url}", "GET", headers=headers, timeouts=CALL_TIMEOUTS
            )
            return await response.json()
        except CALL_FAILURES:
            return None

    async def propose(self, daemon: str, base: int, changes: list[dict], author: str) -> Any:
        """Propose changes to a daemon and return its JSON response, None on failure."""
        body = {"base": base, "changes": changes, "author": author}
        headers = {"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
        url = f"http://{self.address(daemon, 'operators')}/admin/config"
        try:
            response = await new_client().request(
                url, "POST", headers=headers, json=body, timeouts=CALL_TIMEOUTS
            )
            return await response.json()
        except CALL_FAILURES:
            return None

    async def wait_ready(self) -> None:
        """Wait until every daemon is ready.

        :raises RuntimeError: if one is not ready within ``READY_TIMEOUT_S``.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            urls = [f"{self.address(name, 'operators')}/readyz" for name in self.daemons()]
            answers = [await self.get(url) for url in urls]
            if all(answer and answer.get("ready") for answer in answers):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"daemons not ready: {answers}")

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for its exit."""
        process = self.group.processes.pop(name)
        process.popen.send_signal(signal.SIGKILL)
        process.popen.wait()

    async def service_runs(self) -> dict[str, int]:
        """Return the number of ``book`` runs per idempotency key over all service replicas.

        Daemons prefix each key with the customer's name. The prefix is removed: the callers of the
        chaos run use keys that are unique across customers.
        """
        runs: dict[str, int] = {}
        for name in self.targets():
            if not name.startswith("service-"):
                continue
            url = f"{self.address(name, 'listening')}/control/records"
            for record in await self.get(url) or []:
                if record.get("operation") == "book":
                    key = record["key"].rpartition("/")[2]
                    runs[key] = runs.get(key, 0) + 1
        return runs
