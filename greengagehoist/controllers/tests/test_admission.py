"""Guards against requests that are never answered and refusals without a time to retry."""

import asyncio

import pytest
from returns.result import Failure, Success

from greengagehoist.admission import EntryOutcome
from greengagehoist.base import ErrorCode, Outcome
from greengagehoist.controllers import AdmissionController, Admit, Finish

REQUESTS = 200


def admit(number, deadline=10.0):
    """Return a request for admission."""
    return Admit("pipeline:summary", f"c{number % 3}", 1.0, 1.0, deadline)


@pytest.fixture
def run(clock):
    """Return a function that runs a coroutine with a running controller."""

    def start(body):
        async def main():
            controller = AdmissionController(clock)
            task = asyncio.create_task(controller.run())
            try:
                await body(controller)
            finally:
                task.cancel()

        asyncio.run(main())

    return start


def test_each_request_is_granted_or_refused(run, clock):
    async def body(controller):
        asked = [asyncio.create_task(controller.ask(admit(n))) for n in range(REQUESTS)]
        replies = []
        for _ in range(200):
            await clock.advance(0.1)
            done = [task for task in asked if task.done()]
            asked = [task for task in asked if not task.done()]
            replies += [task.result() for task in done]
            for reply in replies[-len(done) :] if done else ():
                if isinstance(reply, Success):
                    controller.tell(Finish(reply.unwrap(), EntryOutcome.COMPLETED))
        refused = [reply.failure() for reply in replies if isinstance(reply, Failure)]
        assert len(replies) == REQUESTS
        assert 0 < len(refused) < REQUESTS
        for error in refused:
            assert (error.outcome, error.code) == (Outcome.NOT_RUN, ErrorCode.OVERLOADED)
            assert error.retry_after.total_seconds() > 0

    run(body)


def test_request_after_its_deadline_is_refused(run, clock):
    async def body(controller):
        await clock.advance(5.0)
        error = (await controller.ask(admit(0, deadline=4.0))).failure()
        assert (error.outcome, error.code) == (Outcome.NOT_RUN, ErrorCode.DEADLINE)

    run(body)
