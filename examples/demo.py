"""Starts a small deployment, takes it through an operator's day and prints what happened."""

import asyncio
import sys
import tempfile
from pathlib import Path

from _deployment import Caller, start_deployment, wait_until_serving
from _steps import (
    apply_lists,
    call_services,
    change_plan,
    exceed_plan,
    run_pipelines,
    show_trace,
    stop_under_load,
)

from greengagehoist.standins import ProcessGroup

LISTS = Path(__file__).parent / "lists" / "demo"
TIMEOUT_S = 55.0


async def run(group: ProcessGroup, folder: Path) -> list[str]:
    """Run the demo and return the names of the steps that did not go as expected."""
    deployment, vms = start_deployment(group)
    await Caller("").call("PUT", f"{deployment.platform}/control/vms", vms)
    if not await apply_lists(deployment, LISTS, 1, "--base", "0"):
        return ["apply_lists"]
    await wait_until_serving(deployment)
    trace_id = await run_pipelines(deployment)
    results = {
        "run_pipelines": bool(trace_id),
        "show_trace": bool(trace_id) and await show_trace(deployment, trace_id),
        "call_services": await call_services(deployment),
        "exceed_plan": await exceed_plan(deployment),
        "change_plan": await change_plan(deployment, folder / "lists", 2),
        "stop_under_load": await stop_under_load(deployment),
    }
    return [name for name, right in results.items() if not right]


async def run_in_time(group: ProcessGroup, folder: Path) -> list[str]:
    """Run the demo within its time."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await run(group, folder)
    except TimeoutError:
        return ["a wait that timed out"]


def main() -> None:
    """Run the demo in a temporary folder; exit code 0 if everything was as expected."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(Path(folder))
        try:
            failed = asyncio.run(run_in_time(group, Path(folder)))
        finally:
            group.stop_all()
    print(f"demo: FAILED: {', '.join(failed)}" if failed else "demo: everything was as expected")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
