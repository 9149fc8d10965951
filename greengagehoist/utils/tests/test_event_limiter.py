"""Guards against clients that fill the log, or the memory that limits it."""

import asyncio

from loguru import logger

from greengagehoist.utils import EventLimiter


def test_each_kind_of_event_is_logged_once_a_second(clock):
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    limiter = EventLimiter(clock)
    for number in range(1000):
        limiter.log("refused", kind="large", reason=f"text {number}")
    limiter.log("refused", kind="late", reason="text")
    asyncio.run(clock.advance(1.0))
    limiter.log("refused", kind="large", reason="text")
    logger.remove(sink)
    assert [line.strip() for line in lines] == [
        'event=refused reason="text 0"',
        "event=refused reason=text",
        "event=refused reason=text skipped=999",
    ]
    assert len(limiter._logged_at) == 2
