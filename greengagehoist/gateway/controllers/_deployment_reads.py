"""Reads of the operator's configuration and evacuations from the platform."""

import random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from greengagehoist.base import ErrorCode, Outcome, StepError
from greengagehoist.platform_client import (
    DeploymentRead,
    HistoryGone,
    ReadDeployment,
    Revision,
    TableState,
)
from greengagehoist.utils import Clock, Controller, log_event

# Time for which whole reads replace a feed of changes that failed while whole reads succeeded. It
# doubles with each further failure.
FEED_AVOIDED_S = 15.0
MAX_FEED_AVOIDED_S = 240.0
# Pages of a whole read, those of interrupted attempts included.
MAX_PAGES = 20


class ReadCounts(NamedTuple):
    """Reads of the platform that succeeded.

    :param conditional: reads of the changes only.
    :param whole: reads of all rows.
    """

    conditional: int = 0
    whole: int = 0


class DeploymentReads:
    """Reads what has changed since the last read, or all rows where that is not possible.

    Both confirm what is held: their responses are linearizable, and a response without changes shows
    the same state as the one that it follows.

    :ivar counts: number of reads that succeeded.
    """

    def __init__(self, platform: Controller, clock: Clock, rng: random.Random):
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.counts = ReadCounts()
        self._feed_from = float("-inf")
        self._feed_failures = 0
        self._failing = False
        self._whole_next = False

    async def read(
        self, known_row: Revision, since: TableState | None
    ) -> tuple[Result[DeploymentRead, StepError], float]:
        """Return what the platform shows, and the time at which that was asked.

        :param known_row: revision of the row whose content is held.
        :param since: state of the table that was read last, None if it must be read whole.
        """
        sent_at = self.clock.monotonic()
        if since is None or self._whole_next or sent_at < self._feed_from:
            return await self._read_whole(known_row)
        result = await self.platform.ask(ReadDeployment(known_row, since))
        match result:
            case Success(DeploymentRead()):
                self._failing, self._feed_failures = False, 0
                self.counts = self.counts._replace(conditional=self.counts.conditional + 1)
                return result, sent_at
            case Success(HistoryGone(reason)):
                # Usual after a pause, so that only a repetition speaks against the feed.
                avoided_s = self._avoided_s() if self._feed_failures else 0.0
            case Failure(error) if error.outcome is Outcome.NOT_RUN:
                return result, sent_at
            case Failure(error):
                if self._failing:
                    # One call for each attempt while the platform fails, of each kind in turn.
                    self._whole_next = True
                    return result, sent_at
                reason, avoided_s = error.message, self._avoided_s()
        whole, whole_sent_at = await self._read_whole(known_row)
        if isinstance(whole, Success):
            self._feed_failures += 1
            self._feed_from = self.clock.monotonic() + avoided_s
            log_event("configuration_feed_unusable", reason=reason, avoided_s=round(avoided_s, 1))
        return whole, whole_sent_at

    def _avoided_s(self) -> float:
        longest = min(MAX_FEED_AVOIDED_S, FEED_AVOIDED_S * 2.0 ** min(self._feed_failures, 10))
        return longest * self.rng.uniform(0.5, 1.0)

    async def _read_whole(
        self, known_row: Revision
    ) -> tuple[Result[DeploymentRead, StepError], float]:
        self._whole_next = False
        sent_at, read = self.clock.monotonic(), None
        for _ in range(MAX_PAGES):
            after = read.last if read is not None else ""
            result = await self.platform.ask(ReadDeployment(known_row, None, after))
            if not isinstance(result, Success):
                self._failing = True
                return result, sent_at
            page = result.unwrap()
            if read is None or page.state.table.era != read.state.table.era:
                # Pages of different eras show no state of the table.
                read = page if not after else None
                sent_at = sent_at if read is not None else self.clock.monotonic()
            else:
                read = _join(read, page)
            if read is not None and not read.last:
                self._failing = False
                self.counts = self.counts._replace(whole=self.counts.whole + 1)
                return Success(read), sent_at
        text = f"table of configurations has more than {MAX_PAGES} pages"
        return (
            Failure(StepError("platform", "", Outcome.UNKNOWN, ErrorCode.PLATFORM, text)),
            sent_at,
        )


def _join(read: DeploymentRead, page: DeploymentRead) -> DeploymentRead:
    """Return a read with a further page; later changes follow the state of the first page."""
    state = read.state._replace(evacuated=read.state.evacuated | page.state.evacuated)
    return read._replace(state=state, last=page.last)
