"""Types of the two lists that operators edit."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import time, timedelta
from typing import NamedTuple


class Limits(NamedTuple):
    """Limits of a plan outside quiet hours; rates count per UTC minute."""

    requests_per_minute: int
    tokens_per_minute: int
    concurrency: int


class QuietLimits(NamedTuple):
    """Limits of a plan in quiet hours; the amounts count per hour of the quiet span."""

    requests_per_hour: int
    tokens_per_hour: int
    concurrency: int


class QuietSpan(NamedTuple):
    """A span of local time that recurs weekly.

    :param days: weekdays on which the span starts, 0 is Monday.
    :param end: local end; if not later than the start, the span ends on the following day.
    """

    days: tuple[int, ...]
    start: time
    end: time


class QuietHours(NamedTuple):
    """Weekly periods in which other limits apply to a plan.

    :param timezone: IANA name, for example ``Europe/Sofia``.
    """

    timezone: str
    spans: tuple[QuietSpan, ...]
    limits: QuietLimits


class PlanUsage(NamedTuple):
    """Pipelines, services, deadline and limits of a plan.

    :param deadline: time within which each request must be answered.
    :param weight: share of the plan's customers in the fair queue, 1 or more.
    :param priority: priority passed to engines; larger values are more urgent.
    """

    plan: str
    pipelines: tuple[str, ...]
    services: tuple[str, ...]
    deadline: timedelta
    weight: int
    priority: int
    limits: Limits
    quiet: QuietHours | None


class Holding(NamedTuple):
    """The plan that a customer holds.

    :param credential_sha256: lower-case hex SHA-256 of the customer's bearer credential.
    """

    customer: str
    plan: str
    credential_sha256: str


@dataclass(frozen=True, slots=True)
class PoolStage:
    """A stage that any target of a pool can run.

    :param role: role of the pool's targets in the VM list.
    """

    name: str
    role: str


@dataclass(frozen=True, slots=True)
class EngineStage:
    """A generation stage that runs on model engines.

    :param model: name of the model that an engine must have loaded.
    """

    name: str
    role: str
    model: str


Stage = PoolStage | EngineStage


class Pipeline(NamedTuple):
    """Stages that a request passes through in order."""

    name: str
    stages: tuple[Stage, ...]


@dataclass(frozen=True, slots=True)
class Idempotent:
    """An operation that may be retried."""

    name: str


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """An operation that must run at most once."""

    name: str


Operation = Idempotent | NonIdempotent


class Service(NamedTuple):
    """A service outside the pipelines; its targets have the role ``service:<name>``.

    :param keeps_keys: True if the service itself rejects an idempotency key it has seen before.
    """

    name: str
    keeps_keys: bool
    operations: Mapping[str, Operation]


DEFAULT_ATTAINMENT_WEIGHT = 0.5
EMPTY_DIGEST = "0" * 64


class Config(NamedTuple):
    """One accepted version of both lists.

    :param attainment_weight: 1.0 counts attainment only, 0.0 counts cost only.
    :param digest: digest of the lists, see :func:`digest_lists`.
    """

    version: int
    holdings: Mapping[str, Holding]
    usage: Mapping[str, PlanUsage]
    pipelines: Mapping[str, Pipeline]
    services: Mapping[str, Service]
    attainment_weight: float = DEFAULT_ATTAINMENT_WEIGHT
    digest: str = EMPTY_DIGEST


EMPTY_CONFIG = Config(0, {}, {}, {}, {})
