"""Guards against work for leaving targets, doubled operations and starts without a platform."""

import asyncio
import json
import signal
import time
from typing import NamedTuple

import pytest

from greengagehoist.daemon.tests.deployment import (
    generate,
    http,
    is_whole,
    list_vms,
    until,
    until_serving,
)
from greengagehoist.standins import (
    STAGES,
    Process,
    ProcessGroup,
    credential_of,
    example_changes,
)

VM_LAG_S = 10.0
# Bound after which a leaving target receives no work, and the time for which that is observed.
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
    """Return a deployment whose VM list lags."""
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
            await until_serving(daemon)

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


async def runs(desk, key):
    """Return how often the job desk ran the operation of a key."""
    records = await get(desk, "/control/records")
    return sum(record["key"] == f"depot/{key}" for record in records)


async def until_replayed(daemon, key):
    """Repeat a key until its first result is returned; every earlier answer is unknown."""

    async def replayed():
        status, body = await book(daemon, key)
        if status == 200:
            return body
        assert body["error"]["outcome"] == "unknown", body
        return None

    return await until(replayed)


def test_leaving_replica_gets_no_request_after_the_bound(deployment):
    address = deployment.targets[LEAVING]

    async def received():
        """Return the requests that reached the replica and those among them that it ran."""
        ran = await get(address, "/control/records")
        return len(ran) + len(await get(address, "/control/refusals")), len(ran)

    async def send(daemon, stream, stopped, bad):
        while not stopped.is_set():
            status, text = await generate(daemon.addresses["callers"], stream)
            if status != 200 or not is_whole(text, stream):
                bad.append(text)

    async def scenario():
        stopped, bad = asyncio.Event(), []
        workers = [
            asyncio.create_task(send(daemon, index % 2 == 0, stopped, bad))
            for daemon in deployment.daemons
            for index in range(WORKERS)
        ]

        async def used():
            return (await received())[1] > WORKERS

        await until(used)
        await http(address, "PUT", "/control/leave")
        await asyncio.sleep(LEAVE_BOUND_S)
        at_bound = await received()
        other = len(await get(deployment.targets["retriever"], "/control/records"))
        await asyncio.sleep(OBSERVED_S)
        after = await received()
        load = len(await get(deployment.targets["retriever"], "/control/records")) - other
        stopped.set()
        await asyncio.gather(*workers)
        return at_bound, after, load, bad

    at_bound, after, load, bad = asyncio.run(scenario())
    assert bad == []
    assert load > 0
    assert after == at_bound


@pytest.mark.parametrize("lost", [1, 1000])
def test_booking_with_a_lost_answer_runs_once(deployment, lost):
    """The second case also loses the record's answers, so that the end stays unknown at first."""
    first, second = deployment.daemons
    desk, key = deployment.targets["job-desk"], f"lost-{lost}"

    async def scenario():
        await set_faults(desk, lose_answers=lost)
        booking = asyncio.create_task(book(first, key))

        async def ran():
            return await runs(desk, key)

        await until(ran)
        repeated = await book(second, key)
        status, body = await booking
        await set_faults(desk)
        final = await until_replayed(second, key)
        return (status, body), repeated, final, await runs(desk, key)

    *answers, final, count = asyncio.run(scenario())
    for status, body in answers:
        whole = status == 200 and body["output"] == final["output"]
        assert whole or body["error"]["outcome"] == "unknown", body
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

        await until(ready)
        found = await version(linked), await version(first), await reasons(alone)
        await set_faults(deployment.platform)

        async def alone_ready():
            return not await reasons(alone)

        await until(alone_ready)
        return found

    taken, expected, not_ready = asyncio.run(scenario())
    assert taken == expected > 0
    assert "config" in not_ready


def test_operation_of_a_killed_owner_is_not_sent_again(deployment):
    """This test is the last one, because it kills a daemon of the deployment."""
    first, second = deployment.daemons
    desk, key = deployment.targets["job-desk"], "killed"

    async def answer():
        """Return whether both daemons book, which they do once they reach the platform again."""
        keys = [f"before-{time.monotonic_ns()}-{index}" for index in range(2)]
        booked = [
            await book(daemon, key) for daemon, key in zip((first, second), keys, strict=True)
        ]
        return all(status == 200 for status, _ in booked)

    async def scenario():
        await until(answer)
        await set_faults(desk, delay_s=1.5)
        booking = asyncio.create_task(book(first, key))

        async def held():
            return "/operations/book" in (await get(desk, "/control/faults"))["delayed"]

        await until(held)
        deployment.group.signal("entry-0", signal.SIGKILL)
        await asyncio.gather(booking, return_exceptions=True)
        before = await runs(desk, key)
        # The request that is held stays delayed; reads of the desk's record are answered again.
        await set_faults(desk)
        repeated = [book(second, key) for _ in range(3)]
        repeated = await asyncio.gather(*repeated)
        final = await until_replayed(second, key)
        return before, repeated, final, await runs(desk, key)

    before, repeated, final, count = asyncio.run(scenario())
    for status, body in repeated:
        assert status == 200 or body["error"]["outcome"] == "unknown", body
    assert final["output"] == {"done": "book", "gully": 9}
    assert (before, count) == (0, 1)
