"""Guards against an odd entry of the list of replicas that costs more than itself."""

import pytest

from greengagehoist.daemon.tests.gateway_system import wait_until
from greengagehoist.gateway.controllers import _replicas as module
from greengagehoist.standins import ReplicaStandin

NESTED = 10_000
PLAIN = "/look/"


def put_odd_entries(store, entry):
    """Write entries that only another program would write."""
    store.put("servers", "odd-nested", 0)
    store.rows["servers", "odd-nested"] = (b"[" * NESTED + b"]" * NESTED, store.version)
    for number, address in enumerate(["127.0.0.1:" + "9" * 5000, "127.0.0.1:99999", "x" * 300]):
        store.put("servers", f"odd-{number}", {**entry, "address": address})


@pytest.fixture
def unreadable(monkeypatch):
    """Return the fields of the log lines that name unreadable entries."""
    logged, log_event = [], module.log_event

    def record(event, *args, **fields):
        if event == "replica_entries_unreadable":
            logged.append(fields)
        log_event(event, *args, **fields)

    monkeypatch.setattr(module, "log_event", record)
    return logged


def test_odd_entries_cost_only_themselves(run_scenario, unreadable):
    """The list was no longer followed, and the daemon stopped reading the platform."""

    async def scenario(system):
        daemon = system.daemons[0]
        put_odd_entries(system.store, system.desks[0].entry())
        await wait_until(lambda: unreadable)
        assert (await system.call(PLAIN))[0] == 200
        added = ReplicaStandin("d9", "desk", "a")
        await added.start()
        try:
            system.store.put("servers", "d9", added.entry())
            for desk in system.desks:
                system.store.remove("servers", desk.replica_id)
            await wait_until(lambda: "d9" in daemon.replicas.table.value.replicas)
            await wait_until(lambda: len(daemon.replicas.table.value.of_service("desk")) == 1)
            assert (await system.call(PLAIN))[0] == 200
            assert len(added.ran) == 1
        finally:
            await added.stop()
        assert daemon.reason_not_ready() == ""
        assert [fields["count"] for fields in unreadable] == [4]
        assert "odd-nested" in unreadable[0]["keys"]

    run_scenario(scenario)
