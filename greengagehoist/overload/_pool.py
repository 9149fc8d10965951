"""What the owner of a pool knows about the requests that ask for its capacity."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.overload._guarantees import Guarantees, Origin
from greengagehoist.overload._returns import ExpectedReturns, ReturnKey
from greengagehoist.overload._sizes import Sizes

# Rank of a request whose group is short of its guarantee, and of a promised return; see
# ``RANK_HEAD_START_S`` of the pools' queues.
GUARANTEED_RANK = -1
# The expected wait of other requests counts this much longer, which leaves room for those. To let
# them overtake by more would make requests late that were admitted before.
ORDINARY_FACTOR = 1.25
GUARANTEED_FACTOR = 0.7
# The factor holds in full from this share of refused requests on.
SCARCE_FROM = 0.05
# Weight of a new request in the mean of the pieces that requests ask of a pool.
MEAN_SMOOTHING = 0.02
# The wait of a request counts by its pieces relative to the mean, to this power and within these
# bounds: among equals, those that need much of a scarce pool are refused first.
WEIGHT_EXPONENT = 0.5
MIN_RELATIVE, MAX_RELATIVE = 0.5, 2.0
# Requests whose refusal may still be reported.
MAX_ASKED = 4096


class Asked(NamedTuple):
    """What a request asks of a pool.

    :param size: tokens of the prompt, or pieces of all stages without a prompt.
    :param further: whether it is a further attempt of a client.
    :param excess: whether its tenant is above its usual share of the pool.
    """

    request_id: str
    kind: str
    tenant: str
    zone: str
    pieces: int
    size: int
    further: bool
    excess: bool = False


class Standing(NamedTuple):
    """How a request is treated.

    :param guaranteed: whether it goes before others of its rank, because one of its groups is
        short of its guarantee or room was promised to it.
    :param promised: whether it has taken room that was reserved for returns.
    :param weight: factor of its expected wait.
    """

    guaranteed: bool
    promised: bool
    weight: float


class AdmissionCounts(NamedTuple):
    """Requests since the start, for the metrics.

    :param refused: refused by their daemons.
    :param guaranteed: preferred because one of their groups was short of its guarantee.
    :param promised: refused with the promise of room.
    :param kept: returns that have found the room that was promised to them.
    :param expected: returns that are expected now.
    """

    refused: int = 0
    guaranteed: int = 0
    promised: int = 0
    kept: int = 0
    expected: int = 0


class PoolAdmission:
    """Requests that ask for the capacity of one pool, and returns that it expects."""

    def __init__(self):
        self._counts = AdmissionCounts()
        self.returns = ExpectedReturns()
        self.guarantees = Guarantees()
        self._sizes = Sizes()
        self._mean_pieces = 0.0
        self._asked: OrderedDict[str, tuple[Asked, Origin | None]] = OrderedDict()

    def ask(self, asked: Asked, now: float) -> Standing:
        """Count a request and return how it is treated."""
        promised = asked.further and self.returns.take(_key_of(asked), now)
        short = False
        origin = None
        if not asked.further:
            origin = self._origin_of(asked)
            short = self.guarantees.ask(origin, now)
        self._asked[asked.request_id] = (asked, origin)
        if len(self._asked) > MAX_ASKED:
            self._asked.popitem(last=False)
        if not self._mean_pieces:
            self._mean_pieces = float(asked.pieces)
        relative = asked.pieces / self._mean_pieces
        self._mean_pieces += MEAN_SMOOTHING * (asked.pieces - self._mean_pieces)
        scarcity = min(1.0, self.guarantees.refused_share(now) / SCARCE_FROM)
        counts = self._counts
        self._counts = counts._replace(
            guaranteed=counts.guaranteed + short, kept=counts.kept + promised
        )
        if short or promised:
            return Standing(True, promised, GUARANTEED_FACTOR)
        weight = min(MAX_RELATIVE, max(MIN_RELATIVE, relative)) ** WEIGHT_EXPONENT
        weight *= 1.0 + (ORDINARY_FACTOR - 1.0) * scarcity
        return Standing(False, False, weight)

    def _origin_of(self, asked: Asked) -> Origin:
        size_class = self._sizes.class_of(asked.kind, asked.size)
        return Origin(asked.kind, asked.tenant, asked.zone, size_class, asked.excess)

    def refuse(
        self, request_id: str, returns_in_s: float | None, pieces_per_s: float, now: float
    ) -> None:
        """Record that a request was refused.

        :param returns_in_s: seconds until its client comes back to reserved room, None if no room
            was promised.
        """
        found = self._asked.pop(request_id, None)
        if found is None:
            return
        asked, origin = found
        counts = self._counts
        self._counts = counts._replace(
            refused=counts.refused + 1, promised=counts.promised + (returns_in_s is not None)
        )
        if origin is not None:
            self.guarantees.refuse(origin, now)
        if returns_in_s is not None:
            self.returns.promise(_key_of(asked), pieces_per_s, returns_in_s, now)

    @property
    def counts(self) -> AdmissionCounts:
        """Requests since the start."""
        return self._counts._replace(expected=len(self.returns))

    def end(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._asked.pop(request_id, None)


def _key_of(asked: Asked) -> ReturnKey:
    return ReturnKey(asked.kind, asked.tenant, asked.size, asked.pieces)


def sum_counts(counts: Iterable[AdmissionCounts]) -> AdmissionCounts:
    """Return the sums over several pools."""
    return AdmissionCounts(*map(sum, zip(AdmissionCounts(), *counts, strict=False)))
