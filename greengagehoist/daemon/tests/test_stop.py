"""Guards against requests that the end of a daemon's stop cuts, and stops that have no end."""

import asyncio
import json
import signal
import subprocess

import pytest
from click.testing import CliRunner

from greengagehoist.daemon import main
from greengagehoist.daemon.tests.deployment import (
    WAIT_S,
    generate,
    http,
    is_complete,
    list_vms,
    wait_until,
)
from greengagehoist.standins import STAGES, credential_of, example_changes

GRACE_S = 6
# Time of one token; an answer needs longer than the grace period.
SLOW_STEP_S = 0.8
# Time of one token of a stage whose answer is complete within the grace period.
STEP_S = 0.05
KEY = "k1"


@pytest.fixture
def start(group):
    """Return a function that starts a daemon before one engine of a given speed."""

    def start_daemon(step_s, *flags):
        platform = group.start_standin("platform", "platform").addresses["listening"]
        desk = group.start_standin("desk", "service", "job-desk").addresses["listening"]
        vms = [["desk", desk, "service:job-desk"]]
        for role, model in STAGES:
            args = ("engine", model, "--step-s", str(step_s)) if model else ("pool", role)
            vms.append([role, group.start_standin(role, *args).addresses["listening"], role])
        daemon = group.start_daemon("entry-0", "dc1", platform, *flags)
        vms.append(["entry-0", daemon.addresses["peers"], "entry"])
        sent = {"base": 0, "changes": example_changes(), "author": "test"}

        async def ready():
            return (await http(daemon.addresses["operators"], "GET", "/readyz"))[0] == 200

        async def routed():
            body = {"input": "gully 9", "max_tokens": 1, "stream": False}
            path, credential = "/v1/pipelines/round-summary", credential_of("depot")
            address = daemon.addresses["callers"]
            return (await http(address, "POST", path, body, credential))[0] == 200

        async def prepare():
            await http(platform, "PUT", "/control/vms", list_vms(vms))
            await http(daemon.addresses["operators"], "POST", "/admin/config", sent)
            await wait_until(ready)
            await wait_until(routed)

        asyncio.run(prepare())
        return daemon, platform, desk

    return start_daemon


def wait_for_end(daemon):
    """Return the exit code of a daemon; kill it at the end of the grace period."""
    try:
        return daemon.popen.wait(GRACE_S)
    except subprocess.TimeoutExpired:
        daemon.popen.kill()
        return daemon.popen.wait()


async def wait_in_flight(daemon, count):
    async def reached():
        _, text = await http(daemon.addresses["operators"], "GET", "/admin/status")
        return json.loads(text)["daemon"]["in_flight"] == count

    await wait_until(reached)


async def book(address):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps({"args": {"job": "1"}})
    writer.write(
        f"POST /v1/services/job-desk/book HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {KEY}\r\n"
        f"Authorization: Bearer {credential_of('depot')}\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    async with asyncio.timeout(WAIT_S):
        raw = await reader.read()
    writer.close()
    return raw.decode().partition("\r\n\r\n")[2]


def test_requests_that_outlive_the_stop_get_a_truthful_answer(group, start):
    """Guards against connections that SIGKILL cuts because the stop waits for slow targets."""
    flags = ("--drain-delay", "0.3", "--grace", str(GRACE_S))
    daemon, platform, desk = start(SLOW_STEP_S, *flags)

    async def scenario():
        address = daemon.addresses["callers"]
        await http(desk, "PUT", "/control/faults", {"delay_s": 60.0})
        calls = [generate(address, False), generate(address, True), book(address)]
        tasks = [asyncio.create_task(call) for call in calls]
        await wait_in_flight(daemon, len(tasks))
        await asyncio.sleep(1.0)
        group.signal("entry-0", signal.SIGTERM)
        code = await asyncio.to_thread(wait_for_end, daemon)
        answers = await asyncio.gather(*tasks)
        _, row = await http(platform, "GET", f"/table/row?key=claim/depot/{KEY}")
        return code, answers, row

    code, ((status, whole), (_, stream), booked), row = asyncio.run(scenario())
    assert code == 0
    error = json.loads(whole)["error"]
    assert (status, error["outcome"], error["code"]) == (503, "unknown", "draining")
    assert "event: error" in stream and '"draining"' in stream
    assert "event: end" not in stream
    assert json.loads(booked)["error"]["outcome"] == "unknown"
    assert '"unknown"' in row and '"sending"' not in row


def test_further_signals_do_not_shorten_the_stop(group, start):
    """Guards against a hang-up or a second order to stop that cuts requests in flight."""
    daemon, _, _ = start(STEP_S, "--drain-delay", "0.3", "--grace", str(GRACE_S))

    async def scenario():
        address = daemon.addresses["callers"]
        tasks = [asyncio.create_task(generate(address, stream)) for stream in (False, True)]
        await wait_in_flight(daemon, len(tasks))
        group.signal("entry-0", signal.SIGTERM)
        for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            await asyncio.sleep(0.1)
            group.signal("entry-0", signum)
        status, _ = await http(daemon.addresses["operators"], "POST", "/admin/drain")
        code = await asyncio.to_thread(wait_for_end, daemon)
        return status, code, await asyncio.gather(*tasks)

    status, code, ((_, whole), (_, stream)) = asyncio.run(scenario())
    assert (status, code) == (202, 0)
    assert is_complete(whole, False)
    assert is_complete(stream, True)


@pytest.mark.parametrize(
    ("flags", "named"),
    [
        (("--grace", "0.5"), "--grace"),
        (("--grace", "nan"), "--grace"),
        (("--drain-delay", "30", "--grace", "30"), "--drain-delay"),
        (("--drain-delay", "23", "--grace", "30"), "--drain-delay"),
        (("--drain-delay", "60"), "--drain-delay"),
    ],
)
def test_grace_period_that_leaves_no_time_for_answers_is_refused(flags, named):
    """Guards against a drain delay after whose end the platform has killed the process."""
    required = ["--vm", "a", "--data-centre", "b", "--platform", "127.0.0.1:1"]
    required += ["--operator-credential", "x" * 16, "--peer-credential", "x" * 16]
    result = CliRunner().invoke(main, [*required, *flags])
    assert result.exit_code == 2
    assert f"{named}: got " in result.output
    assert len(result.output.splitlines()) == 1
