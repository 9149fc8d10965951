"""Values that the router takes and keeps."""

from typing import NamedTuple


class Member(NamedTuple):
    """A target of one role.

    :param price: cost of a busy second relative to the other targets of the role.
    """

    name: str
    data_centre: str
    price: float = 1.0


class LoadReport(NamedTuple):
    """What a target reported.

    :param capacity: requests that the target runs at once.
    :param at: instant of the measurement on the daemon's monotonic clock, in seconds.
    """

    queue: int
    running: int
    capacity: int
    at: float


class Demand(NamedTuple):
    """A request that needs a target.

    :param work: expected busy seconds on a target without cached prefixes.
    :param prefix: hashes of the prompt's leading blocks, the first block first.
    :param block_cost: busy seconds saved for each block that the target has cached.
    :param exclude: names of targets that the request has tried.
    """

    request_id: str
    work: float
    prefix: tuple[int, ...] = ()
    block_cost: float = 0.0
    exclude: tuple[str, ...] = ()
