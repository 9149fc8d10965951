"""Guards against filters that run out of order or after a refusal."""

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


def recording_filter(name, seen):
    async def run(exchange, proceed):
        seen.append(name)
        return await proceed(exchange)

    return run


def test_filters_run_in_order():
    seen = []

    async def last(exchange, proceed):
        return Success(Answer(exchange.request_id, "done"))

    chain = compose([recording_filter("a", seen), recording_filter("b", seen), last])
    assert asyncio.run(chain(make_exchange())) == Success(Answer("r1", "done"))
    assert seen == ["a", "b"]


def test_refusal_ends_the_chain():
    seen = []

    async def refuse(exchange, proceed):
        return Failure(not_run("refuse", ErrorCode.FORBIDDEN, "no"))

    chain = compose([refuse, recording_filter("later", seen)])
    assert asyncio.run(chain(make_exchange())).failure().step == "refuse"
    assert seen == []
