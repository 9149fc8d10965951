"""Requests during a graceful stop: which can still be answered before the process ends."""

from greengagehoist.shutdown._answer_times import AnswerTimes
from greengagehoist.shutdown._begin_by import ANSWER_MARGIN_S, begin_by
from greengagehoist.shutdown._stop_times import (
    DEFAULT_GRACE_S,
    StopTimes,
    answer_time,
    can_answer,
    plan_stop,
)

__all__ = [
    "ANSWER_MARGIN_S",
    "DEFAULT_GRACE_S",
    "AnswerTimes",
    "StopTimes",
    "answer_time",
    "begin_by",
    "can_answer",
    "plan_stop",
]
