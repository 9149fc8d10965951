"""Cost of the VM list and the configuration by size, and of reading them at start."""

import asyncio
import random
from typing import Any

import msgspec
from returns.result import Success

from benchmarks._capacity_fit import Series, cpu_us, memory_bytes
from greengagehoist.codec import encode_snapshot
from greengagehoist.config import (
    Change,
    Log,
    apply_versions,
    build_config,
    take_snapshot,
    version_to_dict,
)
from greengagehoist.config._changes import apply_changes
from greengagehoist.config._versions import make_version
from greengagehoist.controllers import ConfigController, GetConfigStatus, TargetController
from greengagehoist.controllers._roster import VmsListed
from greengagehoist.membership import Listing, TargetRoster
from greengagehoist.platform_client import GetObject, ListVms, ReadRange, Row, Rows, Vm
from greengagehoist.platform_client._wire import decode
from greengagehoist.utils import SteppedClock

TARGETS = (1_000, 4_000, 12_000)
CUSTOMERS = (1_000, 4_000, 12_000)
TAIL_ROWS = 99
START_TIMEOUT_S = 60.0


def make_vms(count: int) -> tuple[Vm, ...]:
    """Return a VM list of targets in 34 roles and 12 data centres."""
    return tuple(
        Vm(
            f"target-{n:05}",
            f"10.1.{n // 250}.{n % 250}:8000",
            f"dc{n % 12}",
            f"role-{n % 34}",
            "live",
            1_767_225_600_000 + n,
        )
        for n in range(count)
    )


def measure_vm_list() -> list[Series]:
    """Return the size, CPU time and memory of a VM list."""
    size, parse, merge, update, kept_bytes, roster_bytes, target_bytes = ([] for _ in range(7))
    for count in TARGETS:
        vms = make_vms(count)
        content = msgspec.json.encode([vm._asdict() for vm in vms])
        size.append((count, float(len(content))))
        parse.append((count, cpu_us(lambda c=content: decode(ListVms(), 200, c), 2)))
        kept_bytes.append((count, memory_bytes(lambda c=content: decode(ListVms(), 200, c))))
        listings = [Listing(vm.vm, vm.incarnation, False) for vm in vms]
        roster = TargetRoster()
        roster.apply_list(listings, 0.0)
        merge.append((count, cpu_us(lambda r=roster, i=listings: r.apply_list(i, 1.0), 2)))
        roster_bytes.append((count, memory_bytes(lambda i=listings: _make_roster(i))))
        cost, kept = asyncio.run(_measure_controller(vms))
        update.append((count, cost))
        target_bytes.append((count, kept))
    return [
        Series("VM list: content", "bytes", "targets", tuple(size)),
        Series("VM list: decode", "us", "targets", tuple(parse)),
        Series("VM list: memory", "bytes", "targets", tuple(kept_bytes)),
        Series("VM list: apply_list, unchanged", "us", "targets", tuple(merge)),
        Series("VM list: target controller, unchanged", "us", "targets", tuple(update)),
        Series("target roster: memory", "bytes", "targets", tuple(roster_bytes)),
        Series("target controller: memory", "bytes", "targets", tuple(target_bytes)),
    ]


def _make_roster(listings: list[Listing]) -> TargetRoster:
    roster = TargetRoster()
    roster.apply_list(listings, 0.0)
    return roster


async def _measure_controller(vms: tuple[Vm, ...]) -> tuple[float, float]:
    """Return the CPU time (us) of applying an unchanged list and the controller's memory."""
    controllers: list[TargetController] = []

    def build() -> TargetController:
        controller = TargetController(None, SteppedClock(), random.Random(1), "dc0", None, "vm")
        controller.handle(VmsListed(vms), lambda value: None)
        controllers.append(controller)
        return controller

    kept = memory_bytes(build)
    controller = controllers[0]
    cost = cpu_us(lambda: controller.handle(VmsListed(vms), lambda value: None), 2)
    for task in list(controller._tasks):
        task.cancel()
    await asyncio.gather(*controller._tasks, return_exceptions=True)
    return cost, kept


def make_config_document(customers: int) -> dict[str, Any]:
    """Return a configuration document with 34 pipelines and 3 plans."""
    limits = {"requests_per_minute": 6_400, "tokens_per_minute": 640_000, "concurrency": 640}
    stages = [
        {"name": "retrieve", "role": "retriever"},
        {"name": "rank", "role": "reranker"},
        {"name": "generate", "role": "engine", "model": "model-1"},
        {"name": "check", "role": "checker"},
    ]
    pipelines = [f"pipeline-{n}" for n in range(34)]
    return {
        "holdings": {
            f"customer-{n:05}": {"plan": f"plan-{n % 3}", "credential_sha256": f"{n:064x}"}
            for n in range(customers)
        },
        "usage": {
            f"plan-{n}": {"deadline_ms": 10_000, "limits": limits, "pipelines": pipelines}
            for n in range(3)
        },
        "pipelines": {name: {"stages": stages} for name in pipelines},
    }


def measure_config() -> list[Series]:
    """Return the CPU time, memory and encoded size of the configuration."""
    build, change, memory, snapshot, row = [], [], [], [], []
    for count in CUSTOMERS:
        document = make_config_document(count)
        build.append((count, cpu_us(lambda d=document: build_config(d), 1)))
        data = msgspec.json.encode(document)
        memory.append((count, memory_bytes(lambda d=data: build_config(msgspec.json.decode(d)))))
        cfg = build_config(document, 100)
        changes = (
            Change("holdings", "customer-00001", {**document["holdings"]["customer-00002"]}),
        )
        changes[0].value["credential_sha256"] = "f" * 64
        change.append((count, cpu_us(lambda c=cfg, x=changes: apply_changes(c, 101, x), 3)))
        version, _ = make_version(cfg, "0" * 32, "operator", changes)
        row.append((count, float(len(msgspec.json.encode(version_to_dict(version))))))
        snapshot.append((count, float(len(encode_snapshot(take_snapshot(Log(cfg)))))))
    return [
        Series("configuration: build_config", "us", "customers", tuple(build)),
        Series("configuration: memory", "bytes", "customers", tuple(memory)),
        Series("configuration: apply_changes, one change", "us", "customers", tuple(change)),
        Series("configuration: row of one change", "bytes", "customers", tuple(row)),
        Series("configuration: snapshot", "bytes", "customers", tuple(snapshot)),
    ]


class _StubPlatform:
    """Stub platform that serves a snapshot and the rows after it, and counts calls and bytes."""

    def __init__(self, snapshot: bytes, rows: tuple[Row, ...]):
        self.snapshot = snapshot
        self.rows = rows
        self.calls = 0
        self.bytes = 0

    async def ask(self, message: Any) -> Any:
        self.calls += 1
        match message:
            case GetObject():
                self.bytes += len(self.snapshot)
                return Success(self.snapshot)
            case ReadRange(after=after):
                rows = tuple(row for row in self.rows if row.key > after)
                self.bytes += len(msgspec.json.encode([row._asdict() for row in rows]))
                return Success(Rows(rows, 0.0))


async def _start_config(customers: int) -> tuple[int, int]:
    """Return the calls and bytes that a configuration controller needs to become current."""
    log = Log(build_config(make_config_document(customers), 100))
    data, rows = encode_snapshot(take_snapshot(log)), []
    for number in range(TAIL_ROWS):
        value = {"plan": "plan-1", "credential_sha256": f"{customers + number:064x}"}
        changes = (Change("holdings", "customer-00001", value),)
        version, _ = make_version(log.cfg, f"{number:032}", "operator", changes)
        log = apply_versions(log, (version,)).log
        rows.append(Row(f"config/{version.version:012}", 1, version_to_dict(version), 0.0))
    platform = _StubPlatform(data, tuple(rows))
    controller = ConfigController(platform, SteppedClock(), random.Random(1))
    task = asyncio.create_task(controller.run())
    async with asyncio.timeout(START_TIMEOUT_S):
        while (await controller.ask(GetConfigStatus())).version < 100 + TAIL_ROWS:
            await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return platform.calls, platform.bytes


def measure_start() -> list[Series]:
    """Return the calls and bytes a new daemon needs to load its configuration.

    The snapshot is followed by the largest number of newer rows.
    """
    calls, size = [], []
    for count in CUSTOMERS:
        calls_made, bytes_read = asyncio.run(_start_config(count))
        calls.append((count, float(calls_made)))
        size.append((count, float(bytes_read)))
    return [
        Series("start: calls for the configuration", "calls", "customers", tuple(calls)),
        Series("start: bytes for the configuration", "bytes", "customers", tuple(size)),
    ]


def measure() -> list[Series]:
    """Return all series of this module."""
    return [*measure_vm_list(), *measure_config(), *measure_start()]
