"""The story of one request, from the log lines of several daemons."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.utils import parse_pairs

# Fields that each line shows in columns of its own or that say nothing about a request.
COLUMNS = ("ts", "vm", "event", "level", "request")


class Step(NamedTuple):
    """One event of a request.

    :param details: the other fields of the line.
    """

    at: str
    vm: str
    event: str
    details: dict[str, str]


class Story(NamedTuple):
    """What happened to a request.

    :param steps: its events in order of their time.
    :param context: events of the replicas that it was sent to, in the same time.
    """

    steps: tuple[Step, ...]
    context: tuple[Step, ...]


def read_story(lines: Iterable[str], request_id: str) -> Story:
    """Collect the events of a request from log lines in any order.

    :param lines: lines of any number of daemons; those that are no events are passed over.
    """
    own: list[Step] = []
    others: list[Step] = []
    for line in lines:
        if "event=" not in line:
            continue
        pairs = parse_pairs(line)
        step = Step(
            pairs.get("ts", ""),
            pairs.get("vm", ""),
            pairs.get("event", ""),
            {key: value for key, value in pairs.items() if key not in COLUMNS},
        )
        if pairs.get("request") == request_id:
            own.append(step)
        elif "replica" in pairs and "request" not in pairs:
            others.append(step)
    own.sort(key=_order)
    if not own:
        return Story((), ())
    replicas = {step.details["replica"] for step in own if "replica" in step.details}
    near = (
        step
        for step in others
        if step.details["replica"] in replicas and own[0].at <= step.at <= own[-1].at
    )
    context = sorted(near, key=_order)
    return Story(tuple(own), tuple(context))


def _order(step: Step) -> tuple[str, str]:
    return step.at, step.vm


def format_steps(steps: Iterable[Step]) -> list[str]:
    """Return a line for each step."""
    return [
        f"{step.at}  {step.vm}  {step.event}  "
        + " ".join(f"{key}={value}" for key, value in step.details.items())
        for step in steps
    ]
