"""Filters of the request chain."""

from greengagehoist.filters._admission import AdmissionFilter
from greengagehoist.filters._claim import ClaimFilter
from greengagehoist.filters._dispatch import DispatchFilter
from greengagehoist.filters._identify import DeadlineFilter, IdentifyFilter, PlanFilter
from greengagehoist.filters._quota import QuotaFilter
from greengagehoist.filters._retry import AttemptLimit, RatioRetryPolicy, RetryPolicy
from greengagehoist.filters._sender import Sender
from greengagehoist.filters._stop import StopFilter

__all__ = [
    "AdmissionFilter",
    "RatioRetryPolicy",
    "AttemptLimit",
    "ClaimFilter",
    "DeadlineFilter",
    "DispatchFilter",
    "IdentifyFilter",
    "PlanFilter",
    "QuotaFilter",
    "RetryPolicy",
    "Sender",
    "StopFilter",
]
