"""Filter chain of the gateway's requests."""

from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._quarantine import QuarantineFilter, QuarantineGate
from greengagehoist.gateway.filters._replica import ReplicaFilter
from greengagehoist.gateway.filters._retry_budgets import RetryBudgets
from greengagehoist.gateway.filters._route import RouteFilter
from greengagehoist.gateway.filters._send_limits import SendLimitGate
from greengagehoist.gateway.filters._shutdown import ShutdownFilter, ShutdownGate
from greengagehoist.gateway.filters._stages import StageFilter

__all__ = [
    "FirstEventLatency",
    "QuarantineFilter",
    "QuarantineGate",
    "ReplicaFilter",
    "RetryBudgets",
    "RouteFilter",
    "SendLimitGate",
    "ShutdownFilter",
    "ShutdownGate",
    "StageFilter",
]
