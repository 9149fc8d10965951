"""Rows of the table that the operator writes: the configuration and the evacuations."""

import base64
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import quote

from greengagehoist.deployment import Deployment
from greengagehoist.platform_client import (
    DeploymentRead,
    HistoryGone,
    HttpCall,
    ReadDeployment,
    Revision,
    TableState,
)

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
# First key after those with the prefix.
EVACUATION_END = "evacuate0"
MAX_ROWS = 500
# Statuses of a store that has no history since a version, or no feed at all. They are answers, so that
# they do not count as an outage.
NO_HISTORY = (404, 405, 410, 501)
# A feed that does not respond is replaced by a whole read, which must still be in time.
FEED_TIMEOUT_S = 0.5

Parse = Callable[[str, Revision], Deployment]


def encode_read(message: ReadDeployment) -> HttpCall:
    """Return the request of a read of the whole rows, or of those that have changed."""
    if message.since is not None:
        query = f"table={OPERATOR_TABLE}&after={message.since.table.version}&wait_ms=0"
        path = f"/greengagehoist/rows-feed?{query}"
        return HttpCall("GET", path, accept=(200, *NO_HISTORY), timeout_s=FEED_TIMEOUT_S)
    start = quote(f"{message.after}\x00", safe="") if message.after else CONFIG_KEY
    query = f"table={OPERATOR_TABLE}&part=&limit={MAX_ROWS}&from={start}&target={EVACUATION_END}"
    return HttpCall("GET", f"/greengagehoist/rows-get?{query}")


def decode_read(
    message: ReadDeployment, body: Mapping[str, Any], era: int, parse: Parse
) -> DeploymentRead | HistoryGone:
    """Return what a read shows.

    :raises ValueError: if the content is malformed.
    """
    if message.since is not None:
        return _changed(message, message.since, body, era, parse)
    rows = _newest(body["rows"])
    state = TableState(Revision(era, _table_version(body)), Revision(era, 0))
    last = body["rows"][-1]["key"] if body.get("has_more") and body["rows"] else ""
    return _apply(message, state, rows, parse)._replace(last=last)


def _changed(
    message: ReadDeployment,
    since: TableState,
    body: Mapping[str, Any],
    era: int,
    parse: Parse,
) -> DeploymentRead | HistoryGone:
    if era != since.table.era:
        # Versions of another era say nothing about what has changed.
        return HistoryGone(f"era {era} instead of {since.table.era}")
    version = _table_version(body)
    if version < since.table.version or body.get("has_more"):
        return HistoryGone(f"feed of version {version} after {since.table.version} is incomplete")
    state = since._replace(table=Revision(era, version))
    return _apply(message, state, _newest(body["rows"]), parse)


def _apply(
    message: ReadDeployment, state: TableState, rows: Mapping[str, Mapping], parse: Parse
) -> DeploymentRead:
    evacuated = set(state.evacuated)
    for key, row in rows.items():
        if key.startswith(EVACUATION_PREFIX) and len(key) > len(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            (evacuated.discard if _is_dropped(row) else evacuated.add)(zone)
    config = rows.get(CONFIG_KEY)
    if config is not None:
        version = 0 if _is_dropped(config) else config["ver"]
        state = state._replace(row=Revision(state.table.era, version))
    state = state._replace(evacuated=frozenset(evacuated))
    if config is None or not state.row.version or state.row == message.known_row:
        return DeploymentRead(None, state.row, state=state)
    try:
        source = base64.b64decode(config["value"]).decode()
    except (LookupError, TypeError, ValueError) as exc:
        raise ValueError(f"row version {state.row.version} is malformed: {exc!r}") from exc
    return DeploymentRead(parse(source, state.row), state.row, source, state)


def _newest(rows: Iterable[Mapping[str, Any]]) -> dict[str, Mapping[str, Any]]:
    """Return the newest version of each row that the operator writes."""
    newest: dict[str, Mapping[str, Any]] = {}
    for row in rows:
        # Rows of other parts have keys of their own.
        if row.get("part") in (None, ""):
            key = row["key"]
            if key not in newest or row["ver"] >= newest[key]["ver"]:
                newest[key] = row
    return newest


def _is_dropped(row: Mapping[str, Any]) -> bool:
    return bool(row.get("tombstone")) or row.get("value") is None


def _table_version(body: Mapping[str, Any]) -> int:
    version = body["ver"]
    if type(version) is not int or version < 0:
        raise ValueError("response states no version of the table")
    return version
