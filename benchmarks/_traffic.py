"""Traffic of the two deployments, as arrivals on a fixed schedule."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from greengagehoist.config import EngineStage, Idempotent, NonIdempotent, PoolStage

BLOCK_COST_S = 0.04
SHARED_BLOCKS = 8
OWN_BLOCKS = 2
STEP_S = 0.02
MEAN_TOKENS = 48
MOST_TOKENS = 160
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
    """A customer of the traffic.

    :param share: share of the arrivals.
    :param weight: weight in the fair queue.
    """

    name: str
    share: float
    weight: float


class Deployment(NamedTuple):
    """Sizes and traffic of a deployment.

    :param deadline: seconds within which each request is answered.
    :param services: share of arrivals that call a plain service.
    :param bookings: share of the service calls that are non-idempotent.
    """

    name: str
    customers: tuple[Customer, ...]
    deadline: float
    templates: int
    services: float
    bookings: float
    attainment_weight: float


_CUSTOMERS = tuple(
    Customer(f"c{index}", share, share * 20)
    for index, share in enumerate((0.40, 0.30, 0.15, 0.10, 0.05))
)
DISPATCH = Deployment("dispatch", _CUSTOMERS, 5.0, 8, 0.2, 0.5, 0.8)
KIOSK = Deployment("kiosk", _CUSTOMERS, 10.0, 8, 0.2, 0.2, 0.3)


class Request(NamedTuple):
    """An arrival.

    :param stages: what the request passes, the last being the answer.
    """

    number: int
    customer: Customer
    arrived: float
    deadline: float
    stages: tuple
    prefix: tuple[int, ...]
    tokens: int


class Shape(NamedTuple):
    """How the rate changes over time.

    :param rate: pipeline requests per second, on average.
    :param bursts: whether the rate alternates between bursts and calm.
    :param bursting: name of a customer that sends ten times its share, or empty.
    :param day: length of a compressed day in seconds whose rate follows opening hours, or 0.
    """

    rate: float
    bursts: bool = False
    bursting: str = ""
    day: float = 0.0


def rate_at(shape: Shape, now: float) -> float:
    """Return the arrival rate at an instant, without the customer that bursts."""
    rate = shape.rate
    if shape.bursts:
        calm = (BURST_PERIOD_S - BURST_FACTOR * BURST_LENGTH_S) / (BURST_PERIOD_S - BURST_LENGTH_S)
        inside = now % BURST_PERIOD_S < BURST_LENGTH_S
        rate *= BURST_FACTOR if inside else calm
    if shape.day:
        rate *= _opening_hours(now % shape.day / shape.day)
    return rate


def _opening_hours(part: float) -> float:
    """Return the relative rate of a part of the day: quiet nights, ramps and a busy midday."""
    if part < 0.3 or part > 0.85:
        return 0.15
    if part < 0.4:
        return 0.15 + 0.85 * (part - 0.3) / 0.1
    if part > 0.7:
        return 1.0 - 0.85 * (part - 0.7) / 0.15
    return 1.0


def generate(
    deployment: Deployment, shape: Shape, duration: float, rng: random.Random
) -> Iterator[Request]:
    """Yield the arrivals in order; they do not depend on how the system answers (open loop)."""
    weights = [
        item.share * (10.0 if item.name == shape.bursting else 1.0) for item in deployment.customers
    ]
    now, number, scale = 0.0, 0, sum(weights) / (1.0 - deployment.services)
    while True:
        now += rng.expovariate(rate_at(shape, now) * scale)
        if now >= duration:
            return
        number += 1
        customer = rng.choices(deployment.customers, weights)[0]
        yield _build(deployment, number, customer, now, rng)


def _build(deployment: Deployment, number: int, customer: Customer, now: float, rng) -> Request:
    deadline = now + deployment.deadline
    if rng.random() < deployment.services:
        booking = rng.random() < deployment.bookings
        stages = (NonIdempotent("book") if booking else Idempotent("history"),)
        return Request(number, customer, now, deadline, stages, (), 0)
    template = min(int(rng.expovariate(0.4)), deployment.templates - 1)
    first = (deployment.customers.index(customer) * deployment.templates + template) * SHARED_BLOCKS
    shared = range(first, first + SHARED_BLOCKS)
    own = range(-number * OWN_BLOCKS, -(number - 1) * OWN_BLOCKS)
    tokens = max(4, min(MOST_TOKENS, int(rng.lognormvariate(3.7, 0.6))))
    return Request(number, customer, now, deadline, STAGES, (*shared, *own), tokens)
