"""The deployment that a gateway serves: routes, services, tenants and limits."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class Idempotent:
    """Requests that may run more than once."""


@dataclass(frozen=True, slots=True)
class NonIdempotent:
    """Requests that may run at most once."""


@dataclass(frozen=True, slots=True)
class Streaming:
    """Requests that are answered by a stream of events.

    :param resumable: whether another replica may continue the stream after a given event.
    :param gap_target_s: longest pause between events for which an answer counts as in time.
    """

    resumable: bool
    gap_target_s: float


RouteKind = Idempotent | NonIdempotent | Streaming


class Stage(NamedTuple):
    """Work that must be done before a request can run.

    :param after: indexes of the stages whose results it needs.
    :param result_bytes: approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...]
    result_bytes: float


class Backend(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host under one path prefix.

    :param priority: rank of the requests, 0 is the most urgent.
    :param max_attempts: most replicas that may run one attempt of a client.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    stages: tuple[Stage, ...]
    public: bool


class PoolLimits(NamedTuple):
    """Capacity of one replica of a stage pool.

    :param batch: most pieces in one call.
    :param call_s: fixed duration of a call in seconds.
    :param piece_s: approximate seconds that each piece adds.
    :param result_bytes: memory for results that are not freed yet.
    """

    batch: int
    call_s: float
    piece_s: float
    result_bytes: float


class EngineLimits(NamedTuple):
    """Capacity of one replica of an engine.

    :param slots: requests that it runs at once.
    :param kv_tokens: tokens in its memory, 0 if the configuration does not say.
    """

    slots: int
    kv_tokens: int


class Service(NamedTuple):
    """A group of replicas.

    :param pool: limits of a stage pool, None for other services.
    :param cold_start_s: seconds for which a replica is cold after its start.
    :param cold_per_s: requests a second that a cold replica takes, 0 for no rule.
    :param engine: limits of an engine, None for other services.
    """

    name: str
    pool: PoolLimits | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineLimits | None = None


class Tenant(NamedTuple):
    """Holder of API keys.

    :param priority: rank that is compared before the route's, or None.
    """

    name: str
    priority: int | None


class Limits(NamedTuple):
    """What a client may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Deployment(NamedTuple):
    """One version of the operator's configuration.

    :param routes: by host, longest prefix first.
    :param tenants: by API key; empty if the deployment has no tenants.
    :param checks_keys: whether requests need an API key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    tenants: dict[str, Tenant]
    checks_keys: bool
    limits: Limits
