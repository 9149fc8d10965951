"""Oracle of the chaos run: compares what callers saw with what targets recorded."""

from collections import Counter
from typing import NamedTuple

MINUTE_S = 60
# A caller's clock and the daemons' windows may differ by this at a window boundary.
BOUNDARY_S = 0.25


class Booking(NamedTuple):
    """One key of a non-idempotent operation and the final answer its caller got.

    :param outcome: ``ok``, ``not_run``, ``ran`` or ``unknown``.
    """

    key: str
    outcome: str


class Summary(NamedTuple):
    """One pipeline request.

    :param outcome: ``right``, ``wrong``, ``partial`` or the outcome of a failure.
    :param tokens: tokens of a whole answer.
    """

    customer: str
    sent: float
    answered: float
    outcome: str
    tokens: int


class Sample(NamedTuple):
    """Configuration version in force at one incarnation of a daemon, read at ``at`` (s)."""

    daemon: str
    at: float
    version: int


class Finding(NamedTuple):
    """A broken guarantee."""

    rule: str
    detail: str


def check_bookings(bookings: list[Booking], runs: dict[str, int]) -> list[Finding]:
    """Check that no key ran twice and that the reported outcomes are true.

    :param runs: number of runs by key, summed over all replicas.
    """
    found = [Finding("ran twice", f"{key}: {n} runs") for key, n in runs.items() if n > 1]
    for booking in bookings:
        count = runs.get(booking.key, 0)
        if booking.outcome == "ok" and count != 1:
            found.append(Finding("booked but not run", f"{booking.key}: {count} runs"))
        if booking.outcome == "not_run" and count:
            found.append(Finding("reported not run but ran", f"{booking.key}: {count} runs"))
    return found


def check_summaries(summaries: list[Summary]) -> list[Finding]:
    """Check that every answer given as whole is the right one."""
    bad = Counter(item.outcome for item in summaries if item.outcome in {"wrong", "partial"})
    return [Finding("answer not whole or not its own", f"{name}: {n}") for name, n in bad.items()]


def check_plan(
    summaries: list[Summary], requests_per_minute: int, tokens_per_minute: int
) -> list[Finding]:
    """Check that no customer got more in a UTC minute than its plan allows.

    Only requests that certainly belong to a minute are counted: sent and answered within it.
    """
    requests, tokens = Counter(), Counter()
    for item in summaries:
        if item.outcome not in {"right", "wrong"}:
            continue
        minute = int((item.sent + BOUNDARY_S) // MINUTE_S)
        if int((item.answered - BOUNDARY_S) // MINUTE_S) != minute:
            continue
        requests[item.customer, minute] += 1
        tokens[item.customer, minute] += item.tokens
    found = []
    for counts, limit, rule in (
        (requests, requests_per_minute, "requests over plan"),
        (tokens, tokens_per_minute, "tokens over plan"),
    ):
        over = [(key, count) for key, count in counts.items() if count > limit]
        found += [Finding(rule, f"{key}: {count} of {limit}") for key, count in over]
    return found


def check_versions(samples: list[Sample], accepted: int) -> list[Finding]:
    """Check that no daemon's version went back or beyond the accepted ones."""
    found, last = [], {}
    for sample in sorted(samples, key=lambda item: item.at):
        if sample.version < last.get(sample.daemon, 0):
            detail = f"{sample.daemon}: {last[sample.daemon]} to {sample.version}"
            found.append(Finding("version went back", detail))
        if sample.version > accepted:
            found.append(Finding("version not accepted", f"{sample.daemon}: {sample.version}"))
        last[sample.daemon] = sample.version
    return found
