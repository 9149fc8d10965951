"""Filters that a request passes in order."""

from greengagehoist.filters._dispatch import DispatchFilter
from greengagehoist.filters._identify import DeadlineFilter, IdentifyFilter, PlanFilter
from greengagehoist.filters._quota import QuotaFilter

__all__ = ["QuotaFilter", "DeadlineFilter", "DispatchFilter", "IdentifyFilter", "PlanFilter"]
