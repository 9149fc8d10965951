"""Guards against answers to earlier calls that pass for the answer to the next, with stand-ins."""

from greengagehoist.http1 import get_header
from greengagehoist.standins import Repeats


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
