"""Retries and hedges of stage runs, and resends of gateway requests."""

from greengagehoist.retries._backoff import backoff
from greengagehoist.retries._budget import RequestBudget, RetryRatio
from greengagehoist.retries._classify import Hedge, Never, Retry, RetryDecision, classify, hedge
from greengagehoist.retries._resend import (
    AbortAnswer,
    Broken,
    FailUnknown,
    Lost,
    NextStep,
    NotSent,
    RefuseNotRun,
    Rejected,
    SendAgain,
    SendEnd,
    SendState,
    Withheld,
    decide_next,
    is_retryable,
)
from greengagehoist.retries._shared_budget import RetryBudget

__all__ = [
    "AbortAnswer",
    "Broken",
    "FailUnknown",
    "Lost",
    "NextStep",
    "NotSent",
    "RefuseNotRun",
    "Rejected",
    "RetryBudget",
    "SendAgain",
    "SendEnd",
    "SendState",
    "Withheld",
    "decide_next",
    "is_retryable",
    "RequestBudget",
    "Hedge",
    "Never",
    "Retry",
    "RetryDecision",
    "RetryRatio",
    "backoff",
    "classify",
    "hedge",
]
