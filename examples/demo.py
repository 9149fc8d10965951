"""Starts a small deployment, sends requests through every stage and prints what happened."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import aiosonic

from greengagehoist.standins import (
    OPERATOR_CREDENTIAL,
    STAGES,
    ProcessGroup,
    credential_of,
    example_changes,
    run_pipeline,
)

DATA_CENTRES = ("dc1", "dc2")
CONFIG_TIMEOUT_S = 10.0


def start_deployment(group: ProcessGroup) -> tuple[str, list[dict]]:
    """Start the platform, the targets and the daemons of both data centres.

    :returns: the platform's address and its VM list.
    """
    platform = group.start_standin("platform", "platform").addresses["listening"]
    vms = []
    for data_centre in DATA_CENTRES:
        for role, model in STAGES:
            args = ("engine", model) if model else ("pool", role)
            vms.append(_start_target(group, data_centre, role, args))
        args = ("service", "job-desk")
        vms.append(_start_target(group, data_centre, "service:job-desk", args))
    for index in range(4):
        data_centre = DATA_CENTRES[index % 2]
        group.start_daemon(f"entry-{index}", data_centre, platform)
    return platform, vms


def _start_target(group: ProcessGroup, data_centre: str, role: str, args) -> dict:
    name = f"{role.replace(':', '-')}-{data_centre}"
    process = group.start_standin(name, *args)
    return {
        "vm": name,
        "address": process.addresses["listening"],
        "data_centre": data_centre,
        "role": role,
        "state": "live",
        "incarnation": 1,
    }


class Caller:
    """Sends requests of one customer and of the operators."""

    def __init__(self):
        self.client = aiosonic.HTTPClient()

    async def call(self, method: str, url: str, credential: str, body=None, **headers) -> dict:
        """Send a JSON request and return the JSON answer."""
        sent = {"Authorization": f"Bearer {credential}", **headers}
        response = await self.client.request(f"http://{url}", method, headers=sent, json=body)
        return await response.json()


async def apply_lists(group: ProcessGroup, caller: Caller, base: int, changes: list[dict]) -> float:
    """Propose changes at the first daemon and wait until all daemons have them in force.

    :returns: seconds until the last daemon had the version in force.
    """
    start = time.monotonic()
    daemons = [name for name in group.processes if name.startswith("entry-")]
    first = group.processes[daemons[0]].addresses["operators"]
    sent = {"base": base, "changes": changes, "author": "demo"}
    answer = await caller.call("POST", f"{first}/admin/config", OPERATOR_CREDENTIAL, sent)
    for name in daemons:
        url = f"{group.processes[name].addresses['operators']}/admin/status"
        while time.monotonic() - start < CONFIG_TIMEOUT_S:
            status = await caller.call("GET", url, OPERATOR_CREDENTIAL)
            if status["config_version"] >= answer["version"]:
                break
            await asyncio.sleep(0.02)
    return time.monotonic() - start


async def run(group: ProcessGroup) -> bool:
    """Run the demo and return True if every answer was right."""
    platform, vms = start_deployment(group)
    caller, credential = Caller(), credential_of("depot")
    await caller.call("PUT", f"{platform}/control/vms", "", vms)
    seconds = await apply_lists(group, caller, 0, example_changes())
    print(f"configuration version 1 in force at 4 daemons after {seconds:.2f} s")
    await asyncio.sleep(1.0)
    address = group.processes["entry-0"].addresses["callers"]
    body = {"input": "gullies on Ivan Vazov street", "max_tokens": 40}
    url = f"{address}/v1/pipelines/round-summary"
    answer = await caller.call("POST", url, credential, body)
    expected = run_pipeline(list(STAGES), body["input"], body["max_tokens"])
    right = answer.get("output") == expected
    print(f"pipeline of four stages: {answer.get('tokens')} tokens, right={right}")
    url = f"{address}/v1/services/job-desk/book"
    key = {"Idempotency-Key": "booking-1"}
    booked = await caller.call("POST", url, credential, {"args": {"drain": 7}}, **key)
    print(f"booking: {booked.get('output')}")
    if "trace_id" not in answer:
        print(answer)
        return False
    url = f"{group.processes['entry-0'].addresses['operators']}/admin/traces/{answer['trace_id']}"
    trace = await caller.call("GET", url, OPERATOR_CREDENTIAL)
    for span in trace["spans"]:
        indent = "  " * span["depth"]
        print(f"  {indent}{span['name']} {span['peer']} {span['duration'] * 1000:.1f} ms")
    return right and booked.get("output", {}).get("done") == "book"


def main() -> None:
    """Run the demo in a temporary folder; exit code 0 if every answer was right."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(Path(folder))
        try:
            right = asyncio.run(run(group))
        finally:
            group.stop_all()
    print("demo: all answers right" if right else "demo: FAILED")
    sys.exit(0 if right else 1)


if __name__ == "__main__":
    main()
