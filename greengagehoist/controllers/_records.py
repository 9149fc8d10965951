"""Controller that records the quota drawn in quiet hours."""

import asyncio
from collections import deque
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from greengagehoist.base import StepError
from greengagehoist.controllers._drain import Drain
from greengagehoist.platform_client import GetObject, ListObjects, PutObject
from greengagehoist.quiet_hours import (
    ChainReport,
    Entry,
    Segment,
    seal_segment,
    sum_entries,
    verify_record,
)
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

SEGMENT_PERIOD_S = 10.0
# One hour of segments. If the object store is down for longer, the oldest are dropped, and reports
# show the gap.
MAX_UNSAVED_SEGMENTS = 360
MAX_CONCURRENT_READS = 16


class RecordDraws(NamedTuple):
    """Record draws in quiet hours; negative amounts are returns of unused quota."""

    entries: tuple[Entry, ...]


class GetReport(NamedTuple):
    """Ask for the report of a UTC date; replied by ``Result[Report, StepError]``.

    :param date: for example ``2026-05-01``.
    """

    date: str


class Report(NamedTuple):
    """Draws of a date and the integrity of their record.

    :param entries: sums per customer and quiet hour.
    :param unreadable: names of objects that are not valid segments.
    """

    date: str
    entries: tuple[Entry, ...]
    chains: tuple[ChainReport, ...]
    unreadable: tuple[str, ...]


class _Saved(NamedTuple):
    segment: Segment
    ok: bool


class RecordController(Controller):
    """Appends draws to a hash-chained record in the object store and reports them."""

    def __init__(self, platform: Controller, clock: Clock, vm: str, incarnation: int):
        super().__init__("records")
        self.platform = platform
        self.clock = clock
        self.vm = vm
        self.incarnation = incarnation
        self._sums: dict[tuple[str, int], tuple[int, int]] = {}
        self._unsaved: deque[Segment] = deque()
        self._saving = False
        self._last_segment: Segment | None = None
        self._drain_reply: Reply | None = None

    async def run(self) -> None:
        """Write segments until cancelled."""
        self.start(tick(self, self.clock, SEGMENT_PERIOD_S))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case RecordDraws(entries):
                for customer, window, requests, tokens in entries:
                    before = self._sums.get((customer, window), (0, 0))
                    after = (before[0] + requests, before[1] + tokens)
                    self._sums[customer, window] = after
            case Tick():
                self._seal(closed=False)
                self._save()
            case _Saved(segment, ok):
                self._observe_saved(segment, ok)
            case GetReport(date):
                self.start(self._report(date, reply))
            case Drain():
                self._seal(closed=True)
                self._drain_reply = reply
                self._save()

    def _seal(self, *, closed: bool) -> None:
        # A segment without draws is sealed only to close an existing chain.
        if not self._sums and (not closed or self._last_segment is None):
            return
        now, last = self.clock.now(), self._last_segment
        date = now.date().isoformat()
        entries = tuple(Entry(*key, *amounts) for key, amounts in sorted(self._sums.items()))
        self._last_segment = seal_segment(
            Segment(
                date,
                self.vm,
                self.incarnation,
                last.n + 1 if last is not None and last.date == date else 0,
                last.digest if last is not None else "",
                now.timestamp(),
                closed,
                entries,
            )
        )
        self._sums = {}
        self._unsaved.append(self._last_segment)
        if len(self._unsaved) > MAX_UNSAVED_SEGMENTS:
            # The first segment is kept because a write of it may be in progress.
            dropped = self._unsaved[1]
            del self._unsaved[1]
            log_event("record_dropped", "ERROR", date=dropped.date, segment=dropped.n)

    def _save(self) -> None:
        if self._unsaved and not self._saving:
            self._saving = True
            self.start(self._put(self._unsaved[0]))
        elif not self._unsaved and self._drain_reply is not None:
            self._drain_reply(None)
            self._drain_reply = None

    async def _put(self, segment: Segment) -> None:
        message = PutObject(segment_name(segment), msgspec.json.encode(segment))
        result = await self.platform.ask(message)
        self.tell(_Saved(segment, isinstance(result, Success)))

    def _observe_saved(self, segment: Segment, ok: bool) -> None:
        self._saving = False
        if ok:
            self._unsaved.remove(segment)
            self._save()
        else:
            log_event("record_not_saved", "WARNING", waiting=len(self._unsaved))

    async def _report(self, date: str, reply: Reply) -> None:
        match await self.platform.ask(ListObjects(f"record/{date}/")):
            case Success(names):
                reply(await self._read_all(date, names))
            case Failure() as failure:
                reply(failure)

    async def _read_all(self, date: str, names: tuple[str, ...]) -> Result[Report, StepError]:
        segments, unreadable = [], []
        for first in range(0, len(names), MAX_CONCURRENT_READS):
            batch = names[first : first + MAX_CONCURRENT_READS]
            results = await asyncio.gather(*(self.platform.ask(GetObject(n)) for n in batch))
            for name, result in zip(batch, results, strict=True):
                match result:
                    case Success(data):
                        segment = _decode(name, data)
                        (unreadable if segment is None else segments).append(segment or name)
                    case Failure() as failure:
                        return failure
        entries, chains = sum_entries(segments), verify_record(segments)
        return Success(Report(date, entries, chains, tuple(unreadable)))


def report_body(report: Report, customer: str) -> dict[str, Any]:
    """Return a report as a JSON-serialisable dictionary.

    :param customer: customer whose draws are included, empty for all customers.
    """
    usage = [entry._asdict() for entry in report.entries if customer in ("", entry.customer)]
    chains = [{**chain._asdict(), "intact": chain.intact} for chain in report.chains]
    return {
        "date": report.date,
        "usage": usage,
        "intact": all(chain.intact for chain in report.chains) and not report.unreadable,
        "chains": chains,
        "unreadable": list(report.unreadable),
    }


def segment_name(segment: Segment) -> str:
    """Return the object name of a segment; within a chain, names sort by segment number."""
    return f"record/{segment.date}/{segment.vm}-{segment.incarnation}-{segment.n:06d}"


def _decode(name: str, data: bytes | None) -> Segment | None:
    """Decode a segment; return None if it is invalid or does not match the object's name."""
    try:
        segment = msgspec.json.decode(data or b"", type=Segment)
    except msgspec.MsgspecError:
        return None
    return segment if segment_name(segment) == name else None
