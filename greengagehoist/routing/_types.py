"""Targets, load reports and requests as the routing policies see them."""

from typing import NamedTuple


class Member(NamedTuple):
    """A target of one role.

    :param price: cost of a busy second, relative to other targets of the role.
    """

    name: str
    data_centre: str
    price: float = 1.0


class LoadReport(NamedTuple):
    """Load that a target reported.

    :param capacity: requests that the target can run concurrently.
    :param at: time of the measurement on the daemon's monotonic clock, in seconds.
    """

    queue: int
    running: int
    capacity: int
    at: float


class Demand(NamedTuple):
    """A request that needs a target.

    :param work: expected busy seconds on a target without cached blocks.
    :param prefix: hashes of the leading blocks of the prompt, in order.
    :param block_cost: busy seconds saved by each cached block.
    :param exclude: names of targets already tried for the request.
    """

    request_id: str
    work: float
    prefix: tuple[int, ...] = ()
    block_cost: float = 0.0
    exclude: tuple[str, ...] = ()
