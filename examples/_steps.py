"""Steps of the demo; each returns whether its result was as expected."""

import asyncio
import json
from pathlib import Path

import aiosonic.exceptions
from _deployment import (
    Caller,
    Deployment,
    Event,
    list_files,
    parse_events,
    run_ctl,
    wait_for_version,
)

from greengagehoist.standins import STAGES, credential_of, run_pipeline

PIPELINE = "v1/pipelines/round-summary"
INPUT = "gullies on Ivan Vazov street"
MAX_TOKENS = 40
BODY = {"input": INPUT, "max_tokens": MAX_TOKENS}
EXPECTED = run_pipeline(list(STAGES), INPUT, MAX_TOKENS)
# Limit of the plan ``trial`` in examples/lists/demo/usage.yaml. If a new minute starts during the
# attempts, as many requests are allowed again.
TRIAL_REQUESTS_PER_MINUTE = 3
WORKERS = 8
LOAD_BEFORE_STOP_S = 0.5
LOAD_AFTER_STOP_S = 0.5
MAX_REQUESTS_PER_WORKER = 500


async def apply_lists(deployment: Deployment, folder: Path, version: int, *args: str) -> bool:
    """Apply both list files and print the time until all daemons have applied the version."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    reached = asyncio.ensure_future(wait_for_version(deployment, version))
    result = await run_ctl(deployment, "apply", *list_files(folder), "--author", "demo", *args)
    if result.exit_code:
        reached.cancel()
        print(f"apply: exit code {result.exit_code}: {result.errors.strip()}")
        return False
    times = await reached
    print(
        f"{result.output.strip()}: in force at all {len(times)} daemons {times[-1] - start:.2f} s"
        f" after the start of the command, {times[-1] - times[0]:.2f} s after the first daemon"
    )
    return result.output == f"version {version} accepted\n"


async def run_pipelines(deployment: Deployment) -> str:
    """Call the four-stage pipeline without and with streaming.

    :returns: the trace id of the streamed response, empty if a response was wrong.
    """
    caller = Caller(credential_of("depot"))
    url = f"{deployment.callers(deployment.daemons[0])}/{PIPELINE}"
    response = await caller.call("POST", url, BODY)
    is_correct = response.get("output") == EXPECTED
    print(f"pipeline, not streamed: {response.get('tokens')} tokens, correct: {is_correct}")
    events = await caller.stream(url, BODY)
    end = events[-1][1] if events and events[-1][0] == "end" else {}
    streamed_correct = is_stream_correct(events)
    print(
        f"pipeline, streamed: {len(events) - 1} events before the end, correct: {streamed_correct}"
    )
    return end.get("trace_id", "") if is_correct and streamed_correct else ""


def is_stream_correct(events: list[Event]) -> bool:
    """Return whether a streamed response is complete and has the expected tokens."""
    tokens = [token for name, data in events if name == "tokens" for token in data["tokens"]]
    return " ".join(tokens) == EXPECTED and events[-1][0] == "end"


async def call_services(deployment: Deployment) -> bool:
    """Call an idempotent operation, then book twice with one idempotency key at two daemons."""
    caller = Caller(credential_of("depot"))
    first, second = (deployment.callers(name) for name in deployment.daemons[:2])
    url = f"{first}/v1/services/job-desk"
    found = await caller.call("POST", f"{url}/history", {"args": {"drain": 7}})
    print(f"look-up: {found.get('output')}")
    found_correct = found.get("output", {}).get("done") == "history"
    answers = []
    for address in (first, second):
        url = f"{address}/v1/services/job-desk/book"
        body = {"args": {"drain": 7}}
        answers.append(await caller.call("POST", url, body, **{"Idempotency-Key": "booking-1"}))
        print(f"booking: {answers[-1].get('output')}, replayed: {answers[-1].get('replayed')}")
    replayed = [answer.get("replayed") for answer in answers]
    same = answers[0].get("output") == answers[1].get("output")
    return found_correct and same and replayed == [False, True]


async def exceed_plan(deployment: Deployment) -> bool:
    """Send more requests than the plan ``trial`` allows until one is refused."""
    caller = Caller(credential_of("trial"))
    url = f"{deployment.callers(deployment.daemons[0])}/{PIPELINE}"
    answered = 0
    for _ in range(2 * TRIAL_REQUESTS_PER_MINUTE + 1):
        answer = await caller.call("POST", url, BODY)
        if "error" in answer:
            break
        answered += 1
    error = answer.get("error", {})
    print(f"over the plan: {answered} answered, then {error.get('code')}, {error.get('outcome')}")
    return (error.get("code"), error.get("outcome")) == ("over_plan", "not_run")


async def change_plan(deployment: Deployment, folder: Path, version: int) -> bool:
    """Move the customer ``trial`` to the plan ``crew`` and check that every daemon serves it."""
    result = await run_ctl(deployment, "get", "--directory", str(folder))
    plans = folder / "plans.yaml"
    plans.write_text(plans.read_text().replace("plan: trial", "plan: crew"))
    if result.exit_code or not await apply_lists(deployment, folder, version):
        return False
    caller, successes = Caller(credential_of("trial")), []
    for name in deployment.daemons:
        answer = await caller.call("POST", f"{deployment.callers(name)}/{PIPELINE}", BODY)
        successes.append(answer.get("output") == EXPECTED)
    print(f"after the change of the plan: {sum(successes)} of {len(successes)} requests answered")
    return all(successes)


async def stop_under_load(deployment: Deployment) -> bool:
    """Send SIGTERM to the last daemon under load; no request may be cut off."""
    name, other = deployment.daemons[-1], deployment.daemons[0]
    counts = {"answered": 0, "refused": 0, "cut": 0}
    stopped = asyncio.Event()
    addresses = (deployment.callers(name), deployment.callers(other))
    workers = [
        asyncio.ensure_future(send_load(addresses, index % 2 == 0, counts, stopped))
        for index in range(WORKERS)
    ]
    await asyncio.sleep(LOAD_BEFORE_STOP_S)
    before = counts["answered"]
    exit_code = await asyncio.to_thread(deployment.group.stop, name)
    during = counts["answered"] - before
    await asyncio.sleep(LOAD_AFTER_STOP_S)
    stopped.set()
    await asyncio.gather(*workers)
    print(
        f"SIGTERM under load: exit code {exit_code}, {before} requests answered before and"
        f" {during} during the stop, {counts['refused']} refused and sent elsewhere,"
        f" {counts['cut']} cut"
    )
    return exit_code == 0 and before > 0 and during > 0 and counts["cut"] == 0


async def send_load(
    addresses: tuple[str, str], stream: bool, counts: dict[str, int], stopped: asyncio.Event
) -> None:
    """Send requests one after another; switch to the second address after a refusal."""
    caller, address = Caller(credential_of("depot")), addresses[0]
    for _ in range(MAX_REQUESTS_PER_WORKER):
        if stopped.is_set():
            return
        outcome = await send_one(caller, f"{address}/{PIPELINE}", stream)
        counts[outcome] += 1
        if outcome == "refused":
            address = addresses[1]


async def send_one(caller: Caller, url: str, stream: bool) -> str:
    """Send one request and classify its outcome.

    :returns: ``answered``, ``refused`` (a draining daemon did not run it) or ``cut``.
    """
    try:
        text = await caller.read_text("POST", url, {**BODY, "stream": stream})
    except (OSError, EOFError, aiosonic.exceptions.AiosonicError):
        return "cut"
    if text.startswith("{"):
        answer = json.loads(text)
        error = answer.get("error", {})
        if (error.get("code"), error.get("outcome")) == ("draining", "not_run"):
            return "refused"
        return "answered" if answer.get("output") == EXPECTED else "cut"
    return "answered" if is_stream_correct(parse_events(text)) else "cut"


async def show_trace(deployment: Deployment, trace_id: str) -> bool:
    """Print the trace of a request and check that it has a span for every stage."""
    result = await run_ctl(deployment, "trace", trace_id)
    print(result.output or result.errors, end="")
    return result.exit_code == 0 and all(role in result.output for role, _ in STAGES)
