"""CPU time of a daemon per request, token chunk and idle second, and its resident memory."""

import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import aiosonic
import psutil

from greengagehoist.standins import (
    Deployment,
    Process,
    ProcessGroup,
    credential_of,
    example_changes,
)

CONCURRENCY = 8
# Each booking writes two rows; more concurrency exceeds the table writes allowed to a daemon.
BOOKING_CONCURRENCY = 1
START_WAIT_S = 2.0


class Cost(NamedTuple):
    """Cost of a number of requests to one daemon.

    :param events: token events of streamed answers.
    :param cpu_s: CPU seconds of the daemon process.
    """

    requests: int
    tokens: int
    events: int
    cpu_s: float
    wall_s: float


class MeasuredDaemon:
    """One daemon with one replica of each target, as separate processes."""

    def __init__(self, group: ProcessGroup, step_s: float):
        self.deployment = Deployment(group, ("dc1",), 1, step_s, vm_lag_s=0.0)
        self.client = aiosonic.HTTPClient()

    @property
    def daemon(self) -> Process:
        """The daemon process under measurement."""
        return self.deployment.group.processes["entry-0"]

    async def start(self) -> None:
        """Start all processes and apply the example configuration."""
        await self.deployment.start()
        changes = example_changes()
        _raise_limits(changes)
        await self.deployment.propose("entry-0", 0, changes, "bench")
        await self.deployment.wait_ready()
        await asyncio.sleep(START_WAIT_S)

    async def measure(self, requests: int, max_tokens: int, *, stream: bool = False) -> Cost:
        """Send pipeline requests and return their cost to the daemon.

        :raises RuntimeError: if a request fails.
        """
        process = psutil.Process(self.daemon.popen.pid)
        before, start = _cpu_seconds(process), time.monotonic()
        numbers = iter(range(requests))
        workers = [self._worker(numbers, max_tokens, stream) for _ in range(CONCURRENCY)]
        tokens, events = map(sum, zip(*await asyncio.gather(*workers), strict=True))
        wall = time.monotonic() - start
        return Cost(requests, tokens, events, _cpu_seconds(process) - before, wall)

    async def _worker(self, numbers: Any, max_tokens: int, stream: bool) -> tuple[int, int]:
        tokens = events = 0
        url = f"{self.daemon.addresses['callers']}/v1/pipelines/round-summary"
        for number in numbers:
            body = {"input": f"street {number}", "max_tokens": max_tokens, "stream": stream}
            headers = {"Authorization": f"Bearer {credential_of('depot')}"}
            response = await self.client.request(
                f"http://{url}", "POST", headers=headers, json=body
            )
            text = await response.text()
            if response.status_code != 200 or "digest" not in text:
                raise RuntimeError(f"request {number} failed: {text[-300:]}")
            events += text.count("event: tokens")
            last = text.strip().rpartition("data: ")[2] if stream else text
            tokens += json.loads(last)["tokens"]
        return tokens, events

    async def measure_service(
        self, requests: int, operation: str, workers: int = CONCURRENCY
    ) -> Cost:
        """Send service operations and return their cost to the daemon.

        :raises RuntimeError: if a request fails.
        """
        process = psutil.Process(self.daemon.popen.pid)
        before, start = _cpu_seconds(process), time.monotonic()
        numbers = iter(range(requests))
        await asyncio.gather(*(self._call_service(numbers, operation) for _ in range(workers)))
        wall = time.monotonic() - start
        return Cost(requests, 0, 0, _cpu_seconds(process) - before, wall)

    async def _call_service(self, numbers: Any, operation: str) -> None:
        url = f"{self.daemon.addresses['callers']}/v1/services/job-desk/{operation}"
        headers = {"Authorization": f"Bearer {credential_of('depot')}"}
        for number in numbers:
            body = {"args": {"number": number}}
            response = await self.client.request(
                f"http://{url}", "POST", headers=headers, json=body
            )
            if response.status_code != 200:
                raise RuntimeError(f"operation {number} failed: {await response.text()}")

    async def measure_idle(self, seconds: float) -> Cost:
        """Return the cost of the idle daemon."""
        process = psutil.Process(self.daemon.popen.pid)
        before = _cpu_seconds(process)
        await asyncio.sleep(seconds)
        return Cost(0, 0, 0, _cpu_seconds(process) - before, seconds)


def _cpu_seconds(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _raise_limits(changes: list[dict[str, Any]]) -> None:
    """Raise the plan limits beyond what the measurement reaches."""
    for change in changes:
        if change["section"] == "usage":
            limits = change["value"]["limits"]
            change["value"]["limits"] = dict.fromkeys(limits, 10**8)


async def measure_daemon() -> list[tuple[str, float, str]]:
    """Return the daemon's cost as (name, value, unit) rows."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(Path(folder))
        measured = MeasuredDaemon(group, step_s=0.002)
        try:
            await measured.start()
            await measured.measure(100, 1)
            short = await measured.measure(400, 1)
            whole = await measured.measure(200, 64)
            streamed = await measured.measure(200, 64, stream=True)
            reads = await measured.measure_service(400, "history")
            bookings = await measured.measure_service(100, "book", BOOKING_CONCURRENCY)
            idle = await measured.measure_idle(5.0)
            resident = psutil.Process(measured.daemon.popen.pid).memory_info().rss
        finally:
            group.stop_all()
    per_request = short.cpu_s / short.requests
    chunks = streamed.tokens
    per_chunk = (streamed.cpu_s / streamed.requests - per_request) / (chunks / streamed.requests)
    return [
        ("daemon CPU per four-stage request, 1 token", per_request * 1e3, "ms"),
        ("daemon CPU per four-stage request, whole answer", whole.cpu_s / 200 * 1e3, "ms"),
        ("tokens per whole answer", whole.tokens / 200, "tokens"),
        ("daemon CPU per streamed chunk", per_chunk * 1e6, "us"),
        ("chunks per streamed answer, from the engine", chunks / streamed.requests, "chunks"),
        ("events per streamed answer, to the caller", streamed.events / 200, "events"),
        ("daemon CPU per idempotent operation", reads.cpu_s / 400 * 1e3, "ms"),
        ("daemon CPU per non-idempotent operation", bookings.cpu_s / 100 * 1e3, "ms"),
        ("daemon CPU when idle", idle.cpu_s / idle.wall_s * 100, "% of a core"),
        ("daemon resident memory", resident / 2**20, "MiB"),
    ]


def main() -> None:
    """Print the rows."""
    for name, value, unit in asyncio.run(measure_daemon()):
        print(f"{name:<52} {value:>10.2f} {unit}")


if __name__ == "__main__":
    main()
