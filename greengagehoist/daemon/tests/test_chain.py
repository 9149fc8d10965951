"""Guards against requests to leaving targets, duplicate runs and failed starts in an outage."""

import asyncio
import json
import signal
import time
from typing import NamedTuple

import pytest

from greengagehoist.daemon.tests.deployment import (
    generate,
    http,
    is_complete,
    list_vms,
    wait_until,
    wait_until_serving,
)
from greengagehoist.standins import (
    STAGES,
    Process,
    ProcessGroup,
    credential_of,
    example_changes,
)

VM_LAG_S = 10.0
# Bound after which a leaving target receives no requests, and the time for which that is observed.
LEAVE_BOUND_S = 3.0
OBSERVED_S = 1.5
WORKERS = 4
LEAVING = "retriever-2"


class Deployment(NamedTuple):
    """Stand-ins and two linked daemons.

    :param targets: addresses of the stand-ins by name.
    """

    group: ProcessGroup
    platform: str
    targets: dict[str, str]
    daemons: tuple[Process, Process]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Return a deployment whose VM list is updated with a delay."""
    group = ProcessGroup(tmp_path_factory.mktemp("chain"))
    try:
        yield start(group)
    finally:
        group.stop_all()


def start(group):
    lag = ("platform", "--vm-lag-s", f"{VM_LAG_S}")
    platform = group.start_standin("platform", *lag).addresses["listening"]
    targets = {"job-desk": ("service:job-desk", ("service", "job-desk"))}
    for role, model in STAGES:
        args = ("engine", model, "--step-s", "0.002") if model else ("pool", role)
        targets[role] = (role, args)
    targets[LEAVING] = ("retriever", ("pool", "retriever"))
    vms = []
    for name, (role, args) in targets.items():
        vms.append([name, group.start_standin(name, *args).addresses["listening"], role])
    first = group.start_daemon("entry-0", "dc1", platform)
    second = group.start_daemon("entry-1", "dc1", platform, "--seed", first.addresses["peers"])
    addresses = {name: address for name, address, _ in vms}
    vms.extend([item.name, item.addresses["peers"], "entry"] for item in (first, second))
    sent = {"base": 0, "changes": example_changes(), "author": "test"}

    async def prepare():
        await http(platform, "PUT", "/control/vms?at_once=1", list_vms(vms))
        await http(first.addresses["operators"], "POST", "/admin/config", sent)
        for daemon in (first, second):
            await wait_until_serving(daemon)

    asyncio.run(prepare())
    return Deployment(group, platform, addresses, (first, second))


@pytest.fixture(autouse=True)
def _clear_faults(deployment):
    yield
    for address in (deployment.platform, deployment.targets["job-desk"]):
        asyncio.run(set_faults(address))


async def get(address, path):
    return json.loads((await http(address, "GET", path))[1])


async def set_faults(address, **faults):
    await http(address, "PUT", "/control/faults", faults)


async def book(daemon, key):
    """Book a job under an idempotency key and return the status and the body."""
    path, body = "/v1/services/job-desk/book", {"args": {"gully": 9}}
    headers = f"Idempotency-Key: {key}"
    credential = f"{credential_of('depot')}\r\n{headers}"
    status, text = await http(daemon.addresses["callers"], "POST", path, body, credential)
    return status, json.loads(text)


async def count_runs(desk, key):
    """Return how often the job desk ran the operation of a key."""
    records = await get(desk, "/control/records")
    return sum(record["key"] == f"depot/{key}" for record in records)


async def wait_until_replayed(daemon, key):
    """Repeat a booking until its first result is replayed; require outcome unknown until then."""

    async def replayed():
        status, body = await book(daemon, key)
        if status == 200:
            return body
        assert body["error"]["outcome"] == "unknown", body
        return None

    return await wait_until(replayed)


def test_leaving_replica_gets_no_request_after_the_bound(deployment):
    address = deployment.targets[LEAVING]

    async def received():
        """Return how many requests reached the replica and how many of them it ran."""
        ran = await get(address, "/control/records")
        return len(ran) + len(await get(address, "/control/refusals")), len(ran)

    async def send(daemon, stream, stopped, failed):
        while not stopped.is_set():
            status, text = await generate(daemon.addresses["callers"], stream)
            if status != 200 or not is_complete(text, stream):
                failed.append(text)

    async def scenario():
        stopped, failed = asyncio.Event(), []
        workers = [
            asyncio.create_task(send(daemon, index % 2 == 0, stopped, failed))
            for daemon in deployment.daemons
            for index in range(WORKERS)
        ]

        async def used():
            return (await received())[1] > WORKERS

        await wait_until(used)
        await http(address, "PUT", "/control/leave")
        await asyncio.sleep(LEAVE_BOUND_S)
        at_bound = await received()
        other_before = len(await get(deployment.targets["retriever"], "/control/records"))
        await asyncio.sleep(OBSERVED_S)
        after = await received()
        other_served = (
            len(await get(deployment.targets["retriever"], "/control/records")) - other_before
        )
        stopped.set()
        await asyncio.gather(*workers)
        return at_bound, after, other_served, failed

    at_bound, after, other_served, failed = asyncio.run(scenario())
    assert failed == []
    assert other_served > 0
    assert after == at_bound


@pytest.mark.parametrize("lost_answers", [1, 1000])
def test_booking_with_a_lost_answer_runs_once(deployment, lost_answers):
    """The second case also loses the reads of the record, so the outcome is unknown at first."""
    first, second = deployment.daemons
    desk, key = deployment.targets["job-desk"], f"lost-{lost_answers}"

    async def scenario():
        await set_faults(desk, lose_answers=lost_answers)
        booking = asyncio.create_task(book(first, key))

        async def ran():
            return await count_runs(desk, key)

        await wait_until(ran)
        repeated = await book(second, key)
        status, body = await booking
        await set_faults(desk)
        final = await wait_until_replayed(second, key)
        return (status, body), repeated, final, await count_runs(desk, key)

    *answers, final, count = asyncio.run(scenario())
    for status, body in answers:
        complete = status == 200 and body["output"] == final["output"]
        assert complete or body["error"]["outcome"] == "unknown", body
    assert final["output"] == {"done": "book", "gully": 9}
    assert count == 1


def test_daemon_without_the_platform_is_ready_with_its_peers_configuration(deployment):
    group, first = deployment.group, deployment.daemons[0]

    async def reasons(daemon):
        return (await get(daemon.addresses["operators"], "/readyz"))["reasons"]

    async def version(daemon):
        return (await get(daemon.addresses["operators"], "/admin/status"))["config_version"]

    async def scenario():
        await set_faults(deployment.platform, down=True)
        seed = ("--seed", first.addresses["peers"])
        linked = group.start_daemon("entry-2", "dc1", deployment.platform, *seed)
        alone = group.start_daemon("entry-3", "dc1", deployment.platform)

        async def ready():
            return not await reasons(linked)

        await wait_until(ready)
        found = await version(linked), await version(first), await reasons(alone)
        await set_faults(deployment.platform)

        async def alone_ready():
            return not await reasons(alone)

        await wait_until(alone_ready)
        return found

    linked_version, expected, not_ready = asyncio.run(scenario())
    assert linked_version == expected > 0
    assert "config" in not_ready


def test_operation_of_a_killed_owner_is_not_sent_again(deployment):
    """Must stay the last test of the module, because it kills a daemon of the shared deployment."""
    first, second = deployment.daemons
    desk, key = deployment.targets["job-desk"], "killed"

    async def both_accept_bookings():
        """Return whether both daemons accept bookings, for which they must reach the platform."""
        keys = [f"before-{time.monotonic_ns()}-{index}" for index in range(2)]
        booked = [
            await book(daemon, key) for daemon, key in zip((first, second), keys, strict=True)
        ]
        return all(status == 200 for status, _ in booked)

    async def scenario():
        await wait_until(both_accept_bookings)
        await set_faults(desk, delay_s=1.5)
        booking = asyncio.create_task(book(first, key))

        async def held():
            return "/operations/book" in (await get(desk, "/control/faults"))["delayed"]

        await wait_until(held)
        deployment.group.signal("entry-0", signal.SIGKILL)
        await asyncio.gather(booking, return_exceptions=True)
        before = await count_runs(desk, key)
        # The delayed request stays delayed; reads of the desk's record are answered without delay.
        await set_faults(desk)
        repeated = [book(second, key) for _ in range(3)]
        repeated = await asyncio.gather(*repeated)
        final = await wait_until_replayed(second, key)
        return before, repeated, final, await count_runs(desk, key)

    before, repeated, final, count = asyncio.run(scenario())
    for status, body in repeated:
        assert status == 200 or body["error"]["outcome"] == "unknown", body
    assert final["output"] == {"done": "book", "gully": 9}
    assert (before, count) == (0, 1)
