"""Retries and hedges of stage runs."""

from greengagehoist.retries._backoff import backoff
from greengagehoist.retries._budget import Budget, RetryRatio
from greengagehoist.retries._classify import Hedge, Never, Retry, RetryDecision, classify, hedge

__all__ = [
    "Budget",
    "Hedge",
    "Never",
    "Retry",
    "RetryDecision",
    "RetryRatio",
    "backoff",
    "classify",
    "hedge",
]
