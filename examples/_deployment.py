"""Processes and HTTP clients of the demo's deployment."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any, NamedTuple

import aiosonic

from greengagehoist.standins import OPERATOR_CREDENTIAL, STAGES, ProcessGroup

DATA_CENTRES = ("dc1", "dc2")
DAEMONS_PER_DATA_CENTRE = 2
READY_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.02

Event = tuple[str, dict[str, Any]]


class Deployment(NamedTuple):
    """A running deployment.

    :param daemons: names of the daemons in ``group``.
    """

    group: ProcessGroup
    platform: str
    daemons: tuple[str, ...]

    def callers(self, name: str) -> str:
        """Return the address at which a daemon listens for callers."""
        return self.group.processes[name].addresses["callers"]

    def operators(self) -> list[str]:
        """Return the addresses at which the running daemons listen for operators."""
        running = [self.group.processes.get(name) for name in self.daemons]
        return [process.addresses["operators"] for process in running if process]


class Result(NamedTuple):
    """Exit code, standard output and standard error of a command."""

    exit_code: int
    output: str
    errors: str


def start_deployment(group: ProcessGroup) -> tuple[Deployment, list[dict[str, Any]]]:
    """Start the platform, the targets and the daemons of both data centres.

    :returns: the deployment and its VM list.
    """
    platform = group.start_standin("platform", "platform").addresses["listening"]
    vms = []
    for data_centre in DATA_CENTRES:
        for role, model in STAGES:
            args = ("engine", model) if model else ("pool", role)
            vms.append(_start_target(group, data_centre, role, args))
        args = ("service", "job-desk")
        vms.append(_start_target(group, data_centre, "service:job-desk", args))
    names, seeds = [], []
    for index in range(len(DATA_CENTRES) * DAEMONS_PER_DATA_CENTRE):
        name, data_centre = f"entry-{index}", DATA_CENTRES[index % len(DATA_CENTRES)]
        flags = [part for seed in seeds for part in ("--seed", seed)]
        peers = group.start_daemon(name, data_centre, platform, *flags).addresses["peers"]
        vms.append(_vm_entry(name, peers, data_centre, "entry"))
        names.append(name)
        seeds.append(peers)
    return Deployment(group, platform, tuple(names)), vms


def _start_target(group: ProcessGroup, data_centre: str, role: str, args) -> dict[str, Any]:
    name = f"{role.replace(':', '-')}-{data_centre}"
    address = group.start_standin(name, *args).addresses["listening"]
    return _vm_entry(name, address, data_centre, role)


def _vm_entry(name: str, address: str, data_centre: str, role: str) -> dict[str, Any]:
    return {
        "vm": name,
        "address": address,
        "data_centre": data_centre,
        "role": role,
        "state": "live",
        "incarnation": 1,
    }


class Caller:
    """HTTP client that sends one bearer credential with every request."""

    def __init__(self, credential: str):
        self.client = aiosonic.HTTPClient()
        self.credential = credential

    async def call(self, method: str, url: str, body: Any = None, **headers: str) -> dict[str, Any]:
        """Send a JSON request and return the JSON response."""
        return json.loads(await self.read_text(method, url, body, **headers))

    async def stream(self, url: str, body: Any) -> list[Event]:
        """Send a request and return the events of the streamed response."""
        return parse_events(await self.read_text("POST", url, {**body, "stream": True}))

    async def read_text(self, method: str, url: str, body: Any, **headers: str) -> str:
        """Send a JSON request and return the response body as text."""
        all_headers = {"Authorization": f"Bearer {self.credential}", **headers}
        response = await self.client.request(
            f"http://{url}", method, headers=all_headers, json=body
        )
        return await response.text()


def parse_events(text: str) -> list[Event]:
    """Return the names and data of server-sent events, without comments."""
    events = []
    for part in text.split("\n\n"):
        lines = dict(line.split(": ", 1) for line in part.splitlines() if line[:1] != ":")
        if lines:
            events.append((lines["event"], json.loads(lines["data"])))
    return events


async def run_ctl(deployment: Deployment, *args: str) -> Result:
    """Run ``greengagehoistctl`` against all running daemons."""
    code = "import sys; from greengagehoist.cli import main; sys.argv[0] = 'greengagehoistctl'"
    env = {
        **os.environ,
        "GREENGAGEHOIST_OPERATORS": " ".join(deployment.operators()),
        "GREENGAGEHOIST_OPERATOR_CREDENTIAL": OPERATOR_CREDENTIAL,
    }
    pipe = asyncio.subprocess.PIPE
    command = (sys.executable, "-c", f"{code}; main()", *args)
    process = await asyncio.create_subprocess_exec(*command, stdout=pipe, stderr=pipe, env=env)
    try:
        output, errors = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    return Result(process.returncode, output.decode(), errors.decode())


async def wait_for_version(deployment: Deployment, version: int) -> list[float]:
    """Wait until every running daemon has applied a version.

    :returns: sorted event-loop times in seconds, one per daemon.
    :raises TimeoutError: if one has not applied it within ``READY_TIMEOUT_S``.
    """
    operators = Caller(OPERATOR_CREDENTIAL)
    loop = asyncio.get_running_loop()

    async def wait(address: str) -> float:
        url = f"{address}/admin/status"
        while (await operators.call("GET", url))["config_version"] < version:
            await asyncio.sleep(POLL_PERIOD_S)
        return loop.time()

    async with asyncio.timeout(READY_TIMEOUT_S):
        return sorted(await asyncio.gather(*map(wait, deployment.operators())))


async def wait_until_serving(deployment: Deployment) -> None:
    """Wait until every daemon is ready, has all targets live and holds quota slots.

    :raises TimeoutError: if one does not within ``READY_TIMEOUT_S``.
    """
    operators = Caller(OPERATOR_CREDENTIAL)
    async with asyncio.timeout(READY_TIMEOUT_S):
        for address in deployment.operators():
            while True:
                status = await operators.call("GET", f"{address}/admin/status")
                live = sum(states.get("live", 0) for states in status["targets"].values())
                expected = len(DATA_CENTRES) * (len(STAGES) + 1)
                if status["ready"] and live == expected and status["quota"]["slots"]:
                    break
                await asyncio.sleep(POLL_PERIOD_S)


def list_files(folder: Path) -> tuple[str, str]:
    """Return the paths of both list files in a folder."""
    return str(folder / "plans.yaml"), str(folder / "usage.yaml")
