"""Encoding of platform calls as requests to the platform's store, and decoding of its rows."""

import base64
import json
import math
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

import msgspec

from greengagehoist.deployment import Deployment
from greengagehoist.platform._config import DeploymentDecoder
from greengagehoist.platform._deployment_rows import NO_HISTORY, decode_read, encode_read
from greengagehoist.platform_client import (
    DeleteRow,
    DeploymentRead,
    HistoryGone,
    HttpCall,
    ListReplicas,
    ReadDeployment,
    ReadRange,
    Refused,
    ReplicaPage,
    Revision,
    Row,
    Rows,
    WriteRow,
    Written,
)
from greengagehoist.replicas import MAX_COLD_S, Replica, check_replica, parse_address

# Table of the rows that the daemons write.
DAEMON_TABLE = "greengagehoist"
MAX_PAGE_ROWS = 500
# Number of times that the store was restored from a copy.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 15
# Milliseconds for which a replica takes few requests, from the time at which it wrote its entry.
COLD_FIELD = "cold_remaining_ms"


class StoreCodec:
    """Encodes platform calls as HTTP requests to the store and decodes the responses."""

    def __init__(self):
        self._decoder = DeploymentDecoder()

    def is_write(self, message: Any) -> bool:
        """Return True if the call counts against the write rate limit."""
        return isinstance(message, WriteRow | DeleteRow)

    def encode(self, message: Any) -> HttpCall:
        """Return the HTTP request of a message.

        :raises ValueError: if the message is unknown.
        """
        match message:
            case ReadDeployment():
                return encode_read(message)
            case ListReplicas(after):
                start = after + "\x00" if after else ""
                return _rows_request("servers", start, "", MAX_PAGE_ROWS)
            case ReadRange(prefix, after, limit):
                end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
                return _rows_request(DAEMON_TABLE, after + "\x00" if after else prefix, end, limit)
            case WriteRow(key=key, value=value, expect=expect):
                stored = base64.b64encode(msgspec.json.encode(value)).decode()
                writes = [{"table": DAEMON_TABLE, "part": "", "key": key, "value": stored}]
                return _transaction_request(key, expect, writes, [])
            case DeleteRow(key=key, expect=expect):
                removals = [{"table": DAEMON_TABLE, "part": "", "key": key}]
                return _transaction_request(key, expect, [], removals)
            case _:
                raise ValueError(f"unknown platform call {message!r}")

    def read_era(self, headers: Mapping[str, str]) -> int:
        """Return the era of the store that a response states, 0 if it states none.

        :raises ValueError: if the statement is malformed.
        """
        stated = headers.get(ERA_HEADER, "0")
        if not (stated.isascii() and stated.isdigit() and len(stated) <= MAX_ERA_DIGITS):
            raise ValueError(f"{ERA_HEADER} is malformed: {stated[:MAX_ERA_DIGITS]!r}")
        return int(stated)

    def decode(self, message: Any, status: int, content: bytes, era: int = 0) -> Any:
        """Return the reply to a message.

        :param era: era of the store that the response states.
        :raises ValueError: if the content is malformed.
        :raises KeyError: if a field is missing.
        """
        if status in NO_HISTORY:
            return HistoryGone(f"the store has no history, status {status}")
        try:
            body = msgspec.json.decode(content)
        except RecursionError as exc:
            raise ValueError("response is nested too deeply") from exc
        match message:
            case ReadDeployment():
                return self._decode_read(message, body, era)
            case ListReplicas():
                return _replica_page(body)._replace(era=era)
            case ReadRange():
                now = body["now_ms"] / 1000
                return Rows(tuple(_row(row, era) for row in body["rows"]), now, era)
            case _:
                now = body.get("now_ms", 0) / 1000
                if status == 200:
                    return Written(body["ver"], now)
                rows = [row for row in body["rows"] if row.get("value") is not None]
                return Refused(_row(rows[0], era) if rows else None, now)

    def read_deployment(self, source: str, row: Revision) -> DeploymentRead:
        """Decode a configuration that another daemon has read in the row's revision ``row``.

        :raises ValueError: if it is malformed.
        """
        return DeploymentRead(self._parse_deployment(source, row), row, source)

    def _decode_read(
        self, message: ReadDeployment, body: Any, era: int
    ) -> DeploymentRead | HistoryGone:
        try:
            return decode_read(message, body, era, self._parse_deployment)
        except (AttributeError, LookupError, TypeError) as exc:
            raise ValueError(f"rows of the configuration are malformed: {exc!r}") from exc

    def _parse_deployment(self, source: str, row: Revision) -> Deployment:
        try:
            return self._decoder.decode(source)
        except (
            ArithmeticError,
            AttributeError,
            LookupError,
            RecursionError,
            TypeError,
            ValueError,
        ) as exc:
            raise ValueError(
                f"configuration in row version {row.version} is malformed: {exc!r}"
            ) from exc


def _rows_request(table: str, start: str, end: str, limit: int) -> HttpCall:
    query = f"table={quote(table, safe='')}&part=&limit={min(limit, MAX_PAGE_ROWS)}"
    if start:
        query += f"&from={quote(start, safe='')}"
    if end:
        query += f"&target={quote(end, safe='')}"
    return HttpCall("GET", f"/greengagehoist/rows-get?{query}")


def _transaction_request(key: str, expect: int, writes: list, removals: list) -> HttpCall:
    # The store applies the transaction only if these rows have the given versions.
    condition = [{"table": DAEMON_TABLE, "part": "", "key": key, "ver": expect}]
    payload = {"expected_revision": condition, "writes": writes, "remove": removals}
    return HttpCall("POST", "/greengagehoist/rows-tx", json=payload, accept=(200, 412))


def _row(raw: dict[str, Any], era: int) -> Row:
    return Row(raw["key"], raw["ver"], _value(raw), 0.0, era)


def _value(raw: dict[str, Any]) -> Any:
    """Return the decoded value of a row, or None if it is malformed or nested too deeply."""
    try:
        return msgspec.json.decode(base64.b64decode(raw["value"]))
    except (LookupError, RecursionError, TypeError, ValueError):
        return None


def _replica_page(body: dict[str, Any]) -> ReplicaPage:
    values = {row["key"]: (_entry_value(row), row.get("ver", 0)) for row in body["rows"]}
    found = {key: decode_replica(key, raw, ver) for key, (raw, ver) in values.items()}
    replicas = tuple(item for item in found.values() if item is not None)
    unreadable = tuple(str(key) for key, item in found.items() if item is None)
    last = body["rows"][-1]["key"] if body.get("has_more") and body["rows"] else ""
    odd_cold = tuple(
        str(key) for key, (raw, _) in values.items() if found[key] and _has_odd_cold(raw)
    )
    return ReplicaPage(replicas, unreadable, last, odd_cold=odd_cold)


def _entry_value(raw: dict[str, Any]) -> Any:
    """Return the decoded value of an entry, or None if it is malformed or nested too deeply.

    Some encoders write numbers that JSON lacks, as ``NaN``. They cost an entry that field only.
    """
    value = _value(raw)
    if value is not None:
        return value
    try:
        return json.loads(base64.b64decode(raw["value"]))
    except (LookupError, RecursionError, TypeError, ValueError):
        return None


def _has_odd_cold(raw: dict[str, Any]) -> bool:
    return raw.get(COLD_FIELD) is not None and _cold_s(raw) is None


def _cold_s(raw: dict[str, Any]) -> float | None:
    """Return for how long a replica states to be cold, None if it states nothing or no time."""
    value = raw.get(COLD_FIELD)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    if not value >= 0 or value == math.inf:
        return None
    return min(value, MAX_COLD_S * 1000) / 1000


def decode_replica(replica_id: str, raw: Any, row: int = 0) -> Replica | None:
    """Decode an entry of the list of replicas; return None if it is malformed or not in use.

    Other programs write entries too, so that fields may be missing or have other types.

    :param row: version of the entry's row.
    """
    match raw:
        case {
            "service": str(service),
            "address": str(address),
            "zone": str(zone),
            "state": "ready" | "draining" as state,
        }:
            models = raw.get("models") or ()
            cold_s = _cold_s(raw)
            try:
                host, port = parse_address(address)
                return check_replica(
                    Replica(
                        replica_id=replica_id,
                        service=service,
                        host=host,
                        port=port,
                        zone=zone,
                        slots=raw.get("slots", 1),
                        born_ms=raw.get("born", 0),
                        leaving=state == "draining",
                        models=tuple(item["name"] for item in models),
                        cold_s=cold_s,
                        cold_row=row if cold_s else 0,
                    )
                )
            except (LookupError, TypeError, ValueError):
                return None
    return None
