"""Test oracle of the chaos test: compares the callers' outcomes with the targets' records."""

from collections import Counter
from typing import NamedTuple

MINUTE_S = 60
# Tolerated offset between a caller's clock and the daemons' quota windows.
CLOCK_MARGIN_S = 0.25


class Booking(NamedTuple):
    """Idempotency key of a non-idempotent operation and the final outcome its caller received.

    :param outcome: ``ok``, ``not_run``, ``ran`` or ``unknown``.
    """

    key: str
    outcome: str


class Summary(NamedTuple):
    """Outcome of one pipeline request.

    :param outcome: ``right``, ``wrong``, ``partial`` or the outcome in an error response.
    :param tokens: tokens of a complete answer, else 0.
    """

    customer: str
    sent: float
    answered: float
    outcome: str
    tokens: int


class Sample(NamedTuple):
    """Active configuration version of one incarnation of a daemon at ``at`` (Unix seconds)."""

    daemon: str
    at: float
    version: int


class Violation(NamedTuple):
    """A violated guarantee."""

    rule: str
    detail: str


def check_bookings(bookings: list[Booking], runs: dict[str, int]) -> list[Violation]:
    """Check that no key ran twice and that the reported outcomes are true.

    :param runs: number of runs by key, summed over all replicas.
    """
    violations = [Violation("ran twice", f"{key}: {n} runs") for key, n in runs.items() if n > 1]
    for booking in bookings:
        count = runs.get(booking.key, 0)
        if booking.outcome == "ok" and count != 1:
            violations.append(Violation("booked but not run", f"{booking.key}: {count} runs"))
        if booking.outcome == "not_run" and count:
            violations.append(Violation("reported not run but ran", f"{booking.key}: {count} runs"))
    return violations


def check_summaries(summaries: list[Summary]) -> list[Violation]:
    """Check that every answer reported as complete is complete and correct."""
    invalid = Counter(item.outcome for item in summaries if item.outcome in {"wrong", "partial"})
    return [Violation("incomplete or wrong answer", f"{name}: {n}") for name, n in invalid.items()]


def check_plan(
    summaries: list[Summary], requests_per_minute: int, tokens_per_minute: int
) -> list[Violation]:
    """Check that no customer exceeded its plan in a UTC minute.

    Only requests that were both sent and answered within the minute are counted, because the
    window of the others is ambiguous.
    """
    requests, tokens = Counter(), Counter()
    for item in summaries:
        if item.outcome not in {"right", "wrong"}:
            continue
        minute = int((item.sent + CLOCK_MARGIN_S) // MINUTE_S)
        if int((item.answered - CLOCK_MARGIN_S) // MINUTE_S) != minute:
            continue
        requests[item.customer, minute] += 1
        tokens[item.customer, minute] += item.tokens
    violations = []
    for counts, limit, rule in (
        (requests, requests_per_minute, "requests over plan"),
        (tokens, tokens_per_minute, "tokens over plan"),
    ):
        over = [(key, count) for key, count in counts.items() if count > limit]
        violations += [Violation(rule, f"{key}: {count} of {limit}") for key, count in over]
    return violations


def check_versions(samples: list[Sample], accepted: int) -> list[Violation]:
    """Check that no daemon's version decreased or exceeded the last accepted one."""
    violations, last_version = [], {}
    for sample in sorted(samples, key=lambda item: item.at):
        if sample.version < last_version.get(sample.daemon, 0):
            detail = f"{sample.daemon}: {last_version[sample.daemon]} to {sample.version}"
            violations.append(Violation("version decreased", detail))
        if sample.version > accepted:
            violations.append(
                Violation("version not accepted", f"{sample.daemon}: {sample.version}")
            )
        last_version[sample.daemon] = sample.version
    return violations
