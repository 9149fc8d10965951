"""Timeline of one request, from the log lines of several daemons."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.utils import parse_pairs

# Fields that are shown in separate columns or add nothing to the timeline of a request.
COLUMNS = ("ts", "vm", "event", "level", "request")


class LogEvent(NamedTuple):
    """One event in the log of a daemon.

    :param at: time stamp as logged.
    :param details: the other fields of the line.
    """

    at: str
    vm: str
    name: str
    details: dict[str, str]


class Timeline(NamedTuple):
    """Events of one request, ordered by time.

    :param events: events of the request itself.
    :param context: events of its replicas between its first and last event.
    """

    events: tuple[LogEvent, ...]
    context: tuple[LogEvent, ...]


def read_timeline(lines: Iterable[str], request_id: str) -> Timeline:
    """Collect the events of a request from log lines in any order.

    :param lines: lines of any number of daemons; those that are not events are skipped.
    """
    own: list[LogEvent] = []
    others: list[LogEvent] = []
    for line in lines:
        if "event=" not in line:
            continue
        pairs = parse_pairs(line)
        event = LogEvent(
            pairs.get("ts", ""),
            pairs.get("vm", ""),
            pairs.get("event", ""),
            {key: value for key, value in pairs.items() if key not in COLUMNS},
        )
        if pairs.get("request") == request_id:
            own.append(event)
        elif "replica" in pairs and "request" not in pairs:
            others.append(event)
    own.sort(key=_sort_key)
    if not own:
        return Timeline((), ())
    replicas = {event.details["replica"] for event in own if "replica" in event.details}
    concurrent = (
        event
        for event in others
        if event.details["replica"] in replicas and own[0].at <= event.at <= own[-1].at
    )
    context = sorted(concurrent, key=_sort_key)
    return Timeline(tuple(own), tuple(context))


def _sort_key(event: LogEvent) -> tuple[str, str]:
    return event.at, event.vm


def format_events(events: Iterable[LogEvent]) -> list[str]:
    """Return one line per event."""
    return [
        f"{event.at}  {event.vm}  {event.name}  "
        + " ".join(f"{key}={value}" for key, value in event.details.items())
        for event in events
    ]
