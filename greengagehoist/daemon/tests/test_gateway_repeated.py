"""Guards against answers to earlier calls that pass for the answer to the next, with stand-ins.

A faulty replica wrote an earlier refusal once more on a kept connection. Clients of another system
were told that a request had not run which a replica was running, or it ran at a second replica.
"""

import pytest

from greengagehoist.http1 import get_header
from greengagehoist.standins import Full, Healthy, Repeats, Writes

ONCE, IDEMPOTENT = "/book/", "/look/"
OTHERS_ID = b"X-Greengagehoist-Request-Id: other\r\n"
OWN_ID = b"X-Greengagehoist-Request-Id: {id}\r\n"
NOT_EXECUTED = b"X-Greengagehoist-Not-Executed: 1\r\n"
STAMP = b"X-Greengagehoist-Server-Stamp: s\r\n"
OWN_ANSWER = b"HTTP/1.1 200 OK\r\n%b%bContent-Length: 3\r\n\r\nown" % (OWN_ID, STAMP)


def refuse(status, headers):
    return b"HTTP/1.1 %d X\r\n%bContent-Length: 0\r\n\r\n" % (status, headers)


REPEATED = {
    str(status): refuse(status, OTHERS_ID + headers)
    for status, headers in {
        503: NOT_EXECUTED,
        429: NOT_EXECUTED + b"Retry-After: 1\r\n",
        421: b"",
        409: NOT_EXECUTED,
        400: NOT_EXECUTED,
    }.items()
}


@pytest.mark.parametrize("follow", [b"", OWN_ANSWER], ids=["alone", "before the answer"])
@pytest.mark.parametrize("refusal", REPEATED.values(), ids=REPEATED)
def test_refusal_of_another_request_does_not_prove_that_this_one_did_not_run(
    run_scenario, refusal, follow
):
    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Writes(refusal + follow)
        assert (await system.call(ONCE))[0] == 502
        assert sum(len(desk.ran) for desk in system.desks) == 1
        system.desks[1].behaviour = Healthy()
        assert (await system.call(IDEMPOTENT, b"x"))[::2] == (200, b"done x")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n%b%b\r\n" % (OTHERS_ID, NOT_EXECUTED),
    ],
    ids=["100", "103"],
)
def test_interim_response_is_no_refusal(run_scenario, interim):
    """Its headers, such as the id of another request, do not belong to the final response."""

    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Writes(interim * 2 + OWN_ANSWER)
        assert (await system.call(ONCE))[::2] == (200, b"own")

    run_scenario(scenario)


def test_each_request_that_may_run_once_has_its_own_connection(run_scenario):
    """On a kept connection, an earlier refusal without an id could not be told from its own."""

    async def scenario(system):
        for desk in system.desks:
            desk.behaviour = Full()
        assert (await system.call(ONCE))[0] == 503
        for desk in system.desks:
            desk.behaviour = Healthy()
        for _ in range(3):
            assert (await system.call(ONCE))[0] == 200
        assert sum(len(desk.ran) for desk in system.desks) == 3
        assert sum(desk.connections for desk in system.desks) == sum(
            len(desk.requests) for desk in system.desks
        )

    run_scenario(scenario)


def test_results_of_an_earlier_stage_call_do_not_reach_another_request(run_scenario):
    """A pool's replica repeats an earlier answer, whose handles passed for those of the next call."""

    async def scenario(system):
        for replica in system.pool:
            replica.behaviour = Repeats()
            replica.pause_s = 0.01
        headers = {"X_Greengagehoist_Segments": b"1,1", "X_Greengagehoist_Segment_Key": b"k"}
        statuses = [(await system.call("/deep/", **headers))[0] for _ in range(6)]
        assert statuses.count(200) >= 1
        made = {handle: item for p in system.pool for handle, item in p.stage_results.items()}
        for engine in system.engines:
            for request in engine.requests:
                request_id = get_header(request.head.headers, b"x-greengagehoist-request-id")
                inputs = get_header(request.head.headers, b"x-greengagehoist-inputs").decode()
                items = [made[handle] for handle in inputs.split(",")]
                assert [(item["id"], item["stage"]) for item in items] == [(request_id.decode(), 1)]

    run_scenario(scenario)
