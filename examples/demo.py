"""Starts a small deployment, runs the steps of the demo on it and prints their results."""

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
    """Run the demo and return the names of the failed steps."""
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
    return [name for name, succeeded in results.items() if not succeeded]


async def run_with_timeout(group: ProcessGroup, folder: Path) -> list[str]:
    """Run the demo within ``TIMEOUT_S`` and return the names of the failed steps."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await run(group, folder)
    except TimeoutError:
        return ["a wait that timed out"]


def main() -> None:
    """Run the demo in a temporary folder; the exit code is 0 if all steps succeed."""
    with tempfile.TemporaryDirectory() as folder:
        group = ProcessGroup(Path(folder))
        try:
            failed = asyncio.run(run_with_timeout(group, Path(folder)))
        finally:
            group.stop_all()
    print(f"demo: FAILED: {', '.join(failed)}" if failed else "demo: everything was as expected")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
