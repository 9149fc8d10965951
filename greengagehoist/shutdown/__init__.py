"""Requests during a graceful stop: which can still be answered before the process ends."""

from greengagehoist.shutdown._answer_times import AnswerTimes
from greengagehoist.shutdown._begin_by import ANSWER_MARGIN_S, begin_by

__all__ = ["ANSWER_MARGIN_S", "AnswerTimes", "begin_by"]
