"""Guards against filters that run out of order or after a filter has rejected the request."""

import asyncio

from returns.result import Failure, Success

from greengagehoist.base import (
    Answer,
    ErrorCode,
    Exchange,
    PipelineCall,
    TraceContext,
    compose,
    not_run,
)


def make_exchange():
    call = PipelineCall("p", "text", 1)
    return Exchange("r1", "", call, 0.0, TraceContext("t", "s"))


def recording_filter(name, calls):
    async def run(exchange, proceed):
        calls.append(name)
        return await proceed(exchange)

    return run


def test_filters_run_in_order():
    calls = []

    async def last(exchange, proceed):
        return Success(Answer(exchange.request_id, "done"))

    chain = compose([recording_filter("a", calls), recording_filter("b", calls), last])
    assert asyncio.run(chain(make_exchange())) == Success(Answer("r1", "done"))
    assert calls == ["a", "b"]


def test_failure_of_a_filter_ends_the_chain():
    calls = []

    async def reject(exchange, proceed):
        return Failure(not_run("reject", ErrorCode.FORBIDDEN, "not included"))

    chain = compose([reject, recording_filter("later", calls)])
    assert asyncio.run(chain(make_exchange())).failure().step == "reject"
    assert calls == []
