"""Filters that a request passes in order."""

from greengagehoist.filters._dispatch import DispatchFilter
from greengagehoist.filters._identify import DeadlineFilter, IdentifyFilter, PlanFilter

__all__ = ["DeadlineFilter", "DispatchFilter", "IdentifyFilter", "PlanFilter"]
