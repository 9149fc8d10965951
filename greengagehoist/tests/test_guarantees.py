"""Guards against broken guarantees of a deployment of separate processes."""

import asyncio
import hashlib
import json
import time

import aiosonic
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from greengagehoist.standins import (
    OPERATOR_CREDENTIAL,
    STAGES,
    Deployment,
    ProcessGroup,
    credential_of,
    example_changes,
    generate_tokens,
    run_pipeline,
    run_stage,
    token_digest,
)

scenarios("guarantees.feature")

MAX_TOKENS = 24
WAIT_S = 20.0
MINUTE_S = 60
# Minimum time left in the current minute when a burst of look-ups starts.
BURST_S = 10


class World:
    """State of a scenario: the deployment and the responses to its steps."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.answers = []

    def run(self, coro):
        return asyncio.run(coro)

    async def post(self, daemon, interface, path, credential, body, **headers):
        url = f"http://{self.deployment.address(daemon, interface)}{path}"
        sent = {"Authorization": f"Bearer {credential}", **headers}
        response = await aiosonic.HTTPClient().request(url, "POST", headers=sent, json=body)
        text = await response.text()
        self.answers.append((response.status_code, text))
        return response.status_code, text

    def call(self, daemon, path, customer, body, key=""):
        headers = {"Idempotency-Key": key} if key else {}
        credential = credential_of(customer)
        return self.run(self.post(daemon, "callers", path, credential, body, **headers))

    def propose(self, daemon, base, changes, author):
        body = {"base": base, "changes": changes, "author": author}
        path = "/admin/config"
        return self.run(self.post(daemon, "operators", path, OPERATOR_CREDENTIAL, body))

    def version(self, daemon):
        url = f"{self.deployment.address(daemon, 'operators')}/admin/status"
        return self.run(self.deployment.get(url))["config_version"]

    def wait_for_version(self, version):
        until = time.monotonic() + WAIT_S
        for daemon in self.deployment.daemons():
            while self.version(daemon) < version:
                assert time.monotonic() < until, f"version {version} not in force at {daemon}"
                time.sleep(0.05)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    """Return a running deployment with the example lists in force."""
    group = ProcessGroup(tmp_path_factory.mktemp("guarantees"))
    running = Deployment(group, ("dc1", "dc2"), 4, step_s=0.002, vm_lag_s=0.0)

    async def start():
        await running.start()
        await running.propose("entry-0", 0, example_changes(("depot",)), "test")
        await running.wait_ready()

    try:
        asyncio.run(start())
        yield running
    finally:
        group.stop_all()


@pytest.fixture
def world(deployment):
    """Return the state of a scenario that has received no responses."""
    return World(deployment)


def pipeline_body(text, stream):
    return {"input": text, "max_tokens": MAX_TOKENS, "stream": stream}


@when(parsers.parse('the depot runs the pipeline "{name}" on "{text}"'))
def run_unstreamed(world, name, text):
    world.call("entry-0", f"/v1/pipelines/{name}", "depot", pipeline_body(text, False))


@then(parsers.parse('the answer is the output of the pipeline for "{text}"'))
def answer_is_right(world, text):
    status, answer = world.answers[-1]
    assert status == 200, answer
    assert json.loads(answer)["output"] == run_pipeline(list(STAGES), text, MAX_TOKENS)


@when(parsers.parse('the depot streams the pipeline "{name}" on "{text}"'))
def run_streamed(world, name, text):
    world.call("entry-1", f"/v1/pipelines/{name}", "depot", pipeline_body(text, True))


@then(parsers.parse('the stream has the tokens of "{text}" and ends with their number and digest'))
def stream_is_complete(world, text):
    blocks = [b for b in world.answers[-1][1].split("\n\n") if b.startswith("event: ")]
    events = [block.removeprefix("event: ").split("\ndata: ") for block in blocks]
    tokens = []
    for name, data in events[:-1]:
        chunk = json.loads(data)
        assert (name, chunk["offset"]) == ("tokens", len(tokens))
        tokens += chunk["tokens"]
    for role, model in STAGES[:-1]:
        assert not model
        text = run_stage(role, text)
    assert tuple(tokens) == generate_tokens(STAGES[-1][1], text, MAX_TOKENS)
    name, data = events[-1]
    end = json.loads(data)
    assert (name, end["tokens"]) == ("end", len(tokens))
    assert end["digest"] == token_digest(tokens)


def book(world, daemon, customer, drain, key):
    path = "/v1/services/job-desk/book"
    world.call(daemon, path, customer, {"args": {"drain": drain}}, key)


@when(parsers.parse('the depot books drain "{drain}" with the key "{key}"'))
def book_first(world, drain, key):
    book(world, "entry-0", "depot", drain, key)


@when(parsers.parse('the depot books drain "{drain}" with the key "{key}" at another daemon'))
def book_again(world, drain, key):
    book(world, "entry-1", "depot", drain, key)


@when(parsers.parse('"{customer}" books drain "{drain}" with the key "{key}"'))
def book_as(world, customer, drain, key):
    book(world, "entry-2", customer, drain, key)


@then("both answers are the same and the second is marked as replayed")
def same_answer(world):
    first, second = (json.loads(text) for _, text in world.answers)
    assert first["output"] == second["output"]
    assert (first["replayed"], second["replayed"]) == (False, True)


@then(parsers.parse('the key "{key}" ran once'))
def ran_once(world, key):
    assert world.run(world.deployment.service_runs())[key] == 1


@then(parsers.parse('the second booking is refused as "{code}" and was not run'))
@then(parsers.parse('the booking is refused as "{code}" and was not run'))
def refused(world, code):
    error = json.loads(world.answers[-1][1])["error"]
    assert (error["code"], error["outcome"]) == (code, "not_run")


@given(parsers.parse('a plan of {limit:d} requests a minute for the new customer "{customer}"'))
def small_plan(world, limit, customer):
    """Give a plan to a new customer: an earlier, larger plan could apply until the minute ends."""
    limits = {"requests_per_minute": limit, "tokens_per_minute": 0, "concurrency": 64}
    usage = {"services": ["job-desk"], "deadline_ms": 5000, "limits": limits}
    digest = hashlib.sha256(credential_of(customer).encode()).hexdigest()
    holding = {"plan": "small-plan", "credential_sha256": digest}
    changes = [
        {"section": "usage", "key": "small-plan", "value": usage},
        {"section": "holdings", "key": customer, "value": holding},
    ]
    status, text = world.propose("entry-0", world.version("entry-0"), changes, "test")
    assert status == 200, text
    world.wait_for_version(json.loads(text)["version"])
    world.answers.clear()


@when(parsers.parse('"{customer}" sends {count:d} look-ups over all daemons within a minute'))
def look_up(world, customer, count):
    left = MINUTE_S - time.time() % MINUTE_S
    if left < BURST_S:
        time.sleep(left + 1)
    daemons = world.deployment.daemons()

    async def send_all():
        calls = [
            world.post(
                daemons[number % len(daemons)],
                "callers",
                "/v1/services/job-desk/history",
                credential_of(customer),
                {"args": {}},
            )
            for number in range(count)
        ]
        await asyncio.gather(*calls)

    world.run(send_all())


@then(
    parsers.parse('at most {limit:d} of them are answered and the others are refused as "{code}"')
)
def limit_is_enforced(world, limit, code):
    answered = [text for status, text in world.answers if status == 200]
    codes = {json.loads(text)["error"]["code"] for status, text in world.answers if status != 200}
    assert 1 <= len(answered) <= limit, world.answers
    assert codes == {code}, world.answers


@when("two operators propose changes on the same version at different daemons")
def operators_race(world):
    base = world.version("entry-0")
    world.wait_for_version(base)

    async def race():
        jobs = []
        for daemon, author in (("entry-0", "first"), ("entry-1", "second")):
            value = {
                "plan": "crew",
                "credential_sha256": hashlib.sha256(author.encode()).hexdigest(),
            }
            change = {"section": "holdings", "key": f"new-{author}", "value": value}
            body = {"base": base, "changes": [change], "author": author}
            jobs.append(world.post(daemon, "operators", "/admin/config", OPERATOR_CREDENTIAL, body))
        await asyncio.gather(*jobs)

    world.run(race())


@then("one change is accepted and the other operator is shown it")
def one_accepted(world):
    world.answers.sort()
    (accepted, _), (refused, text) = world.answers
    assert (accepted, refused) == (200, 409)
    assert "new-" in text


@then("the accepted version comes into force at every daemon")
def in_force(world):
    world.wait_for_version(json.loads(world.answers[0][1])["version"])
