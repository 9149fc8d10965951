"""Guards against broken guarantees of the gateway, with stand-ins on loopback."""

import asyncio

import pytest
from click.testing import CliRunner

from greengagehoist.daemon.gateway import main, reload_settings
from greengagehoist.daemon.tests.gateway_system import (
    BOUNDS,
    config,
    settings_text,
    wait_until,
)
from greengagehoist.http1 import IncompleteError, ResponseReader, get_header
from greengagehoist.platform import SETTINGS_VARIABLE
from greengagehoist.standins import BreaksOff, Full, LosesAnswers, MixesUp, Silent


def test_request_is_forwarded_byte_for_byte(run_scenario):
    async def scenario(system):
        status, headers, body = await system.call("/book/x%2fy?q=1", b"\x00body")
        assert (status, body) == (200, b"done \x00body")
        assert get_header(headers, b"x-greengagehoist-server-stamp") in (b"d0", b"d1")
        (request,) = [item for desk in system.desks for item in desk.requests]
        assert request.head.target == b"/book/x%2fy?q=1"
        names = {name.lower(): value for name, value in request.head.headers}
        assert names[b"x-greengagehoist-tenant"] == b"t1"
        assert b"api-key" not in names
        assert int(names[b"x-greengagehoist-deadline-ms"]) <= 1500

    run_scenario(scenario)


def test_keep_alive_connection_serves_requests_in_order(run_scenario):
    async def scenario(system):
        sock = await system.connect()
        for number in range(3):
            sock.write(system.encode("/look/a", b"%d" % number))
            reader = ResponseReader(sock, b"POST")
            await reader.head()
            assert await reader.whole_body() == b"done %d" % number
            assert reader.reusable
        sock.abort()

    run_scenario(scenario)


def test_pipelined_requests_are_answered_in_order(run_scenario):
    async def scenario(system):
        sock = await system.connect()
        sock.write(b"".join(system.encode("/look/a", b"%d" % number) for number in range(3)))
        received = b""
        async with asyncio.timeout(2):
            while b"done 2" not in received:
                received += await sock.read()
        assert received.index(b"done 0") < received.index(b"done 1") < received.index(b"done 2")
        sock.abort()

    run_scenario(scenario)


def test_unknown_route_and_key_are_denied(run_scenario):
    async def scenario(system):
        assert (await system.call("/none/"))[0] == 404
        assert (await system.call("/look/", key=b"other"))[0] == 401
        assert not any(desk.requests for desk in system.desks)

    run_scenario(scenario)


def test_too_large_body_is_refused(run_scenario):
    async def scenario(system):
        assert (await system.call("/look/", b"x" * 1001))[0] == 413

    run_scenario(scenario)


def test_booking_with_a_lost_response_runs_once_and_is_unknown(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = LosesAnswers()
        status, _, _ = await system.call("/book/")
        assert status == 502
        assert sum(len(desk.ran) for desk in system.desks) == 1

    run_scenario(scenario)


def test_lookup_with_a_lost_response_is_retried(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = LosesAnswers()
        await system.call("/look/")
        assert sorted(len(desk.ran) for desk in system.desks) == [1, 1]

    run_scenario(scenario)


def test_rejected_booking_is_retried_elsewhere_or_refused_as_not_run(run_scenario):
    async def scenario(system):
        system.desks[0].behaviour = Full()
        assert (await system.call("/book/"))[0] == 200
        system.desks[1].behaviour = Full()
        status, headers, _ = await system.call("/book/")
        assert status == 503
        assert float(get_header(headers, b"retry-after")) > 0

    run_scenario(scenario)


def test_response_to_another_request_is_not_forwarded(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = MixesUp()
        status, _, body = await system.call("/book/")
        assert (status, body) == (502, b"")

    run_scenario(scenario)


def test_unresponsive_replica_gives_a_timely_504(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Silent()
        assert (await system.call("/book/"))[0] == 504

    run_scenario(scenario)


def test_interrupted_stream_is_resumed_at_another_replica(run_scenario):
    async def scenario(system):
        for engine in system.engines:
            engine.behaviour = BreaksOff(3)
        status, _, body = await system.call("/text/")
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(5))

    run_scenario(scenario)


def test_stream_that_cannot_be_resumed_is_aborted(run_scenario):
    async def scenario(system):
        for engine in system.engines:
            engine.behaviour = BreaksOff(3)
        with pytest.raises(IncompleteError):
            await system.call("/once/")

    run_scenario(scenario)


def test_started_stream_is_aborted_if_no_other_replica_can_be_reached(run_scenario):
    """Guards against a 502 that is written into a response that has already started."""

    async def scenario(system):
        system.engines[0].behaviour = BreaksOff(2)
        system.engines[1].behaviour = BreaksOff(2)
        first = asyncio.ensure_future(system.call("/text/"))
        await wait_until(lambda: any(engine.ran for engine in system.engines))
        other = next(engine for engine in system.engines if not engine.ran)
        await other.stop()
        with pytest.raises(IncompleteError):
            await first

    run_scenario(scenario)


def test_client_disconnect_ends_the_request(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Silent()
        sock = await system.connect()
        sock.write(system.encode("/book/"))
        await wait_until(lambda: any(desk.ran for desk in system.desks))
        sock.abort()
        await wait_until(lambda: system.daemons[0].front.in_flight == 0, 0.4)

    run_scenario(scenario)


def test_new_configuration_is_in_force_and_revoked_key_is_refused(run_scenario):
    async def scenario(system):
        system.store.put("op", "config", config(2, keys=("key2",)))
        snapshot = system.daemons[0].deployments.snapshot
        await wait_until(lambda: snapshot.value.deployment.version == 2, 2.0)
        assert (await system.call("/look/"))[0] == 401
        assert (await system.call("/look/", key=b"key2"))[0] == 200

    run_scenario(scenario)


def test_hubs_pass_their_reads_on_to_other_daemons(run_scenario, monkeypatch):
    """Guards against a large deployment in which every daemon reads the platform itself."""
    monkeypatch.setattr("greengagehoist.membership._peer_selection.FULL_MESH_MAX_VMS", 2)

    async def scenario(system):
        await wait_until(lambda: all(d.topology.shared.value for d in system.daemons), 9)
        (served,) = [d for d in system.daemons if d.settings.vm not in d.topology.hubs.value]
        await wait_until(lambda: served.reach.reach.value.ready >= served.topology.hubs.value)
        served.platform.address = "127.0.0.1:1"
        await served.platform._client.aclose()
        snapshot, table = served.deployments.snapshot, served.replicas.table
        before = snapshot.value.confirmed_at
        await wait_until(lambda: snapshot.value.confirmed_at > before + 2.0)
        changed_at = served.clock.monotonic()
        system.store.put("op", "config", config(2))
        system.store.put("servers", "d0", system.desks[0].entry("draining"))
        await wait_until(lambda: snapshot.value.deployment.version == 2)
        assert snapshot.value.confirmed_at >= changed_at
        await wait_until(lambda: table.value.replicas["d0"].leaving)

    run_scenario(scenario, daemons=3)


def test_keys_are_refused_when_the_platform_is_unavailable_for_too_long(run_scenario):
    """A key may have been revoked without the daemon being able to read it."""

    async def scenario(system):
        system.store.available = False
        assert (await system.call("/look/"))[0] == 200
        await asyncio.sleep(BOUNDS.revoke_s + 0.1)
        status, headers, _ = await system.call("/look/")
        assert status == 503
        assert get_header(headers, b"retry-after") is not None
        system.store.available = True
        await wait_until(lambda: system.daemons[0].reason_not_ready() == "")
        assert (await system.call("/look/"))[0] == 200

    run_scenario(scenario)


def test_leaving_replica_gets_no_requests(run_scenario):
    async def scenario(system):
        leaving = system.desks[0]
        system.store.put("servers", leaving.replica_id, leaving.entry("draining"))
        table = system.daemons[0].replicas.table
        await wait_until(lambda: table.value.replicas[leaving.replica_id].leaving)
        for _ in range(6):
            assert (await system.call("/look/"))[0] == 200
        assert not leaving.requests

    run_scenario(scenario)


def test_stop_finishes_requests_and_accepts_new_ones_meanwhile(run_scenario):
    async def scenario(system):
        for desk in system.desks:
            desk.pause_s = 0.4
        pending = asyncio.ensure_future(system.call("/book/"))
        await wait_until(lambda: any(desk.requests for desk in system.desks))
        stopping = asyncio.ensure_future(system.daemons[0].stop())
        await asyncio.sleep(0.05)
        assert system.daemons[0].reason_not_ready() == "stopping"
        late = await system.call("/book/")
        assert late[0] == 200
        assert get_header(late[1], b"connection") == b"close"
        assert (await pending)[0] == 200
        await stopping
        # The others keep it as a member until it starts again or its links stay lost.
        assert ("greengagehoist", "member/vm0") in system.store.rows

    run_scenario(scenario)


def test_changed_bounds_are_in_force_and_invalid_settings_change_nothing(
    run_scenario, tmp_path, monkeypatch
):
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

    async def scenario(system):
        daemon = system.daemons[0]
        path.write_text(settings_text(revoke_ms=2500, grace_s=5))
        reload_settings(daemon)
        assert daemon.route_filter.revoke_after_s == 2.5
        path.write_text(settings_text(revoke_ms="soon", grace_s=6))
        reload_settings(daemon)
        assert daemon.route_filter.revoke_after_s == 2.5
        assert daemon.settings.bounds.grace_s == 5
        assert (await system.call("/look/"))[0] == 200

    run_scenario(scenario)


def test_program_names_a_bad_setting_and_exits_with_2(tmp_path, monkeypatch):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text(revoke_ms="soon", grace_s=6))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    result = CliRunner().invoke(main, [])
    assert result.exit_code == 2
    assert "bounds.revoke_ms" in result.output
    assert len(result.output.strip().splitlines()) == 1
