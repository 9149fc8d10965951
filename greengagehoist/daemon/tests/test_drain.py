"""Guards against drains that abort requests and links that stay up to a frozen daemon."""

import asyncio
import json
import signal

import pytest

from greengagehoist.daemon.tests.deployment import (
    WAIT_S,
    generate,
    http,
    is_complete,
    list_vms,
    wait_until,
    wait_until_serving,
)
from greengagehoist.standins import (
    STAGES,
    example_changes,
)

WORKERS = 8
MAX_REQUESTS_PER_WORKER = 2000


@pytest.fixture
def deployment(group):
    """Return the processes of two linked daemons."""
    platform = group.start_standin("platform", "platform").addresses["listening"]
    vms = []
    for role, model in STAGES:
        args = ("engine", model, "--step-s", "0.01") if model else ("pool", role)
        address = group.start_standin(role, *args).addresses["listening"]
        vms.append([role, address, role])
    first = group.start_daemon("entry-0", "dc1", platform, "--drain-delay", "0.3")
    seed = ("--seed", first.addresses["peers"])
    second = group.start_daemon("entry-1", "dc2", platform, "--drain-delay", "0.3", *seed)
    vms.extend([item.name, item.addresses["peers"], "entry"] for item in (first, second))
    listed = list_vms(vms)
    sent = {"base": 0, "changes": example_changes(), "author": "test"}

    async def prepare():
        await http(platform, "PUT", "/control/vms", listed)
        await http(first.addresses["operators"], "POST", "/admin/config", sent)
        for daemon in (first, second):
            await wait_until_serving(daemon)

    asyncio.run(prepare())
    return first, second


async def send_until_drained(address, stream, counts):
    """Send requests until one is refused as draining; count complete, aborted and refused ones."""
    for _ in range(MAX_REQUESTS_PER_WORKER):
        try:
            status, text = await generate(address, stream)
        except (OSError, ValueError, IndexError):
            counts["aborted"] += 1
            return
        if status == 200:
            counts["complete" if is_complete(text, stream) else "aborted"] += 1
            continue
        error = json.loads(text)["error"]
        refused = error["code"] == "draining" and error["outcome"] == "not_run"
        counts["refused" if refused and error["retry_safe"] else "aborted"] += 1
        return


@pytest.mark.parametrize("how", ["signal", "operator"])
def test_stop_under_load_aborts_no_request(group, deployment, how):
    first, _ = deployment

    async def scenario():
        counts = {"complete": 0, "aborted": 0, "refused": 0}
        address = first.addresses["callers"]
        workers = [
            asyncio.create_task(send_until_drained(address, n % 2 == 0, counts))
            for n in range(WORKERS)
        ]

        async def warmed_up():
            return counts["complete"] >= WORKERS

        await wait_until(warmed_up)
        if how == "signal":
            group.signal("entry-0", signal.SIGTERM)
        else:
            await http(first.addresses["operators"], "POST", "/admin/drain")

        async def not_ready():
            return (await http(first.addresses["operators"], "GET", "/readyz"))[0] == 503

        await wait_until(not_ready)
        await asyncio.gather(*workers)
        return counts

    counts = asyncio.run(scenario())
    assert counts["aborted"] == 0, counts
    assert counts["refused"] == WORKERS, counts
    assert first.popen.wait(WAIT_S) == 0


def test_trace_is_shown_by_the_other_daemon(deployment):
    first, second = deployment

    async def scenario():
        _, text = await generate(first.addresses["callers"], False)
        path = f"/admin/traces/{json.loads(text)['trace_id']}"
        _, shown = await http(second.addresses["operators"], "GET", path)
        return {(span["vm"], span["name"]) for span in json.loads(shown)["spans"]}

    names = asyncio.run(scenario())
    assert names == {("entry-0", name) for name in ("request", *(role for role, _ in STAGES))}


def test_link_to_a_stopped_process_is_dropped_and_comes_back(group, deployment):
    _, second = deployment

    async def count(text):
        log = second.log.read_text()
        return log.count(f"event={text} peer=entry-0")

    async def scenario():
        async def linked():
            return await count("peer_linked") > await count("peer_lost")

        await wait_until(linked)
        before = await count("peer_linked")
        group.signal("entry-0", signal.SIGSTOP)

        async def lost():
            return await count("peer_lost") == before

        await wait_until(lost)
        group.signal("entry-0", signal.SIGCONT)

        async def replaced():
            return await count("peer_linked") > before

        await wait_until(replaced)

    asyncio.run(scenario())
    assert "reason=silent" in second.log.read_text()
