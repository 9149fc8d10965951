"""Filters that a gateway request passes in order."""

from greengagehoist.gateway.filters._first_event_latency import FirstEventLatency
from greengagehoist.gateway.filters._replica import ReplicaFilter, RetryBudgets
from greengagehoist.gateway.filters._route import RouteFilter
from greengagehoist.gateway.filters._stage_work import StageFilter

__all__ = ["FirstEventLatency", "RetryBudgets", "ReplicaFilter", "RouteFilter", "StageFilter"]
