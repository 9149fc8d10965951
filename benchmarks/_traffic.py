"""Open-loop traffic of the two modelled deployments."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from greengagehoist.config import EngineStage, Idempotent, NonIdempotent, PoolStage

BLOCK_COST_S = 0.04
SHARED_BLOCKS = 8
UNIQUE_BLOCKS = 2
DECODE_STEP_S = 0.02
MEAN_TOKENS = 48
MAX_TOKENS = 160
BURST_PERIOD_S = 16.0
BURST_LENGTH_S = 4.0
BURST_FACTOR = 1.6
ENGINE = EngineStage("generation", "engine", "summary")
STAGES = (
    PoolStage("encoding", "encoder"),
    PoolStage("retrieval", "retriever"),
    PoolStage("reranking", "reranker"),
    ENGINE,
)


class Customer(NamedTuple):
    """A customer and its share of the traffic.

    :param share: share of the arrivals.
    :param weight: weight in the fair queue.
    """

    name: str
    share: float
    weight: float


class Deployment(NamedTuple):
    """Sizes and traffic of a deployment.

    :param deadline: seconds from arrival within which a request must be answered.
    :param service_share: share of arrivals that call a service instead of a pipeline.
    :param booking_share: share of the service calls that are non-idempotent.
    """

    name: str
    customers: tuple[Customer, ...]
    deadline: float
    templates: int
    service_share: float
    booking_share: float
    attainment_weight: float


_CUSTOMERS = tuple(
    Customer(f"c{index}", share, share * 20)
    for index, share in enumerate((0.40, 0.30, 0.15, 0.10, 0.05))
)
DISPATCH = Deployment("dispatch", _CUSTOMERS, 5.0, 8, 0.2, 0.5, 0.8)
KIOSK = Deployment("kiosk", _CUSTOMERS, 10.0, 8, 0.2, 0.2, 0.3)


class Request(NamedTuple):
    """A request of the traffic.

    :param stages: stages in order; the result of the last one is the answer.
    :param prefix: block identifiers of the prompt.
    """

    number: int
    customer: Customer
    arrived: float
    deadline: float
    stages: tuple
    prefix: tuple[int, ...]
    tokens: int


class LoadShape(NamedTuple):
    """Arrival rate over time.

    :param rate: pipeline requests per second, on average.
    :param bursts: whether the rate alternates between bursts and quiet periods.
    :param bursting: name of a customer that sends ten times its share, or empty.
    :param day: seconds of a simulated day whose rate follows opening hours, or 0 for none.
    """

    rate: float
    bursts: bool = False
    bursting: str = ""
    day: float = 0.0


def rate_at(shape: LoadShape, now: float) -> float:
    """Return the arrival rate at an instant, without the extra load of a bursting customer."""
    rate = shape.rate
    if shape.bursts:
        calm = (BURST_PERIOD_S - BURST_FACTOR * BURST_LENGTH_S) / (BURST_PERIOD_S - BURST_LENGTH_S)
        inside = now % BURST_PERIOD_S < BURST_LENGTH_S
        rate *= BURST_FACTOR if inside else calm
    if shape.day:
        rate *= _opening_hours(now % shape.day / shape.day)
    return rate


def _opening_hours(fraction: float) -> float:
    """Return the relative rate at a fraction of the day: low at night, ramps, full at midday."""
    if fraction < 0.3 or fraction > 0.85:
        return 0.15
    if fraction < 0.4:
        return 0.15 + 0.85 * (fraction - 0.3) / 0.1
    if fraction > 0.7:
        return 1.0 - 0.85 * (fraction - 0.7) / 0.15
    return 1.0


def generate_arrivals(
    deployment: Deployment, shape: LoadShape, duration: float, rng: random.Random
) -> Iterator[Request]:
    """Yield the arrivals in order, independent of the system's responses (open loop)."""
    weights = [
        item.share * (10.0 if item.name == shape.bursting else 1.0) for item in deployment.customers
    ]
    now, number, scale = 0.0, 0, sum(weights) / (1.0 - deployment.service_share)
    while True:
        now += rng.expovariate(rate_at(shape, now) * scale)
        if now >= duration:
            return
        number += 1
        customer = rng.choices(deployment.customers, weights)[0]
        yield _build_request(deployment, number, customer, now, rng)


def _build_request(
    deployment: Deployment, number: int, customer: Customer, now: float, rng
) -> Request:
    deadline = now + deployment.deadline
    if rng.random() < deployment.service_share:
        booking = rng.random() < deployment.booking_share
        stages = (NonIdempotent("book") if booking else Idempotent("history"),)
        return Request(number, customer, now, deadline, stages, (), 0)
    template = min(int(rng.expovariate(0.4)), deployment.templates - 1)
    first_block = (
        deployment.customers.index(customer) * deployment.templates + template
    ) * SHARED_BLOCKS
    shared = range(first_block, first_block + SHARED_BLOCKS)
    unique = range(-number * UNIQUE_BLOCKS, -(number - 1) * UNIQUE_BLOCKS)
    tokens = max(4, min(MAX_TOKENS, int(rng.lognormvariate(3.7, 0.6))))
    return Request(number, customer, now, deadline, STAGES, (*shared, *unique), tokens)
