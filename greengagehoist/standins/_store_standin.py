"""Stand-in of the platform's store."""

import asyncio
import base64
import enum
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from greengagehoist.http1 import Request, Socket
from greengagehoist.standins._gateway_behaviours import Endless
from greengagehoist.standins._gateway_standins import HttpStandin, send_endless, send_response

STORE_ERA = b"Store-Era"

# Value and version of each row by table and key.
StoreRows = dict[tuple[str, str], tuple[bytes, int]]


class StoreCopy(NamedTuple):
    """State of a store at one moment.

    :param removed: version of the removal of each row that is gone.
    """

    version: int
    rows: StoreRows
    removed: dict[tuple[str, str], int]


class FeedFault(enum.StrEnum):
    """Ways in which the feed of changes fails."""

    SILENT = "silent"
    MALFORMED = "malformed"
    GONE = "gone"
    ERROR = "error"


class StoreStandin(HttpStandin):
    """Store of the platform: versioned rows and transactions conditional on row versions.

    :ivar available: False to respond to every call with 503.
    :ivar era: number of restores from a copy, stated in all responses.
    :ivar delayed: reads of these tables get the response of their arrival once the event is set,
        so that it may be late and of an earlier era.
    :ivar endless: response to every call, None for the store's own.
    :ivar endless_bytes: number of bytes of each endless response.
    :ivar feed_fault: how the feed of changes fails, None if it works.
    :ivar history_from: version before which the feed has no history.
    :ivar calls: path and query of each call that was answered, in order.
    """

    def __init__(self):
        super().__init__()
        self.rows: StoreRows = {}
        self.removed: dict[tuple[str, str], int] = {}
        self.feed_fault: FeedFault | None = None
        self.history_from = 0
        self.calls: list[str] = []
        self.version = 0
        self.available = True
        self.era = 1
        self.delayed: dict[str, asyncio.Event] = {}
        self.endless: Endless | None = None
        self.endless_bytes: list[int] = []

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row unconditionally, in place of the operator or a replica."""
        self.version += 1
        self.rows[table, key] = (msgspec.json.encode(value), self.version)
        self.removed.pop((table, key), None)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self._drop((table, key))

    def copy(self) -> StoreCopy:
        """Return a copy of the rows and the version counter, to restore them from."""
        return StoreCopy(self.version, dict(self.rows), dict(self.removed))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and begin the next era; what was written since is lost."""
        self.version, self.rows = copy.version, dict(copy.rows)
        self.removed = dict(copy.removed)
        self.era += 1

    async def handle_request(self, sock: Socket, request: Request) -> None:
        """Handle a read or a transaction."""
        era = (STORE_ERA, b"%d" % self.era)
        if not self.available:
            send_response(sock, 503, (era,), b"{}")
            return
        if self.endless is not None:
            self.endless_bytes.append(await send_endless(sock, self.endless))
            return
        self.calls.append(request.head.target.decode())
        path, _, query = request.head.target.decode().partition("?")
        if path.endswith("/rows-feed"):
            if self.feed_fault is FeedFault.SILENT:
                await sock.gone
                return
            status, body = self._feed(parse_qs(query))
        elif path.endswith("/rows-get"):
            status, body = 200, self._get(parse_qs(query))
        else:
            status, body = self._transact(msgspec.json.decode(request.body))
        body |= {"ver": self.version, "now_ms": 1000}
        delayed = self.delayed.get(parse_qs(query).get("table", [""])[0])
        if delayed is not None:
            await delayed.wait()
        send_response(sock, status, (era,), msgspec.json.encode(body))

    def _get(self, query: dict[str, list[str]]) -> dict[str, Any]:
        return _read_range(self.rows, query)

    def _feed(self, query: dict[str, list[str]]) -> tuple[int, dict[str, Any]]:
        table, after = query["table"][0], int(query["after"][0])
        match self.feed_fault:
            case FeedFault.MALFORMED:
                return 200, {"rows": [{"ver": "x"}]}
            case FeedFault.ERROR:
                return 500, {}
        if self.feed_fault is FeedFault.GONE or after < self.history_from:
            return 410, {}
        found = [
            _encode_row(self.rows, *key)
            for key, (_, version) in self.rows.items()
            if key[0] == table and version > after
        ]
        found += [
            {"table": table, "part": "", "key": key, "ver": version, "tombstone": True}
            for (name, key), version in self.removed.items()
            if name == table and version > after
        ]
        return 200, {"rows": found}

    def _drop(self, key: tuple[str, str]) -> None:
        if self.rows.pop(key, None) is not None:
            self.removed[key] = self.version

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        keys = [(item["table"], item["key"]) for item in body["expected_revision"]]
        expected = [item["ver"] for item in body["expected_revision"]]
        if [self.rows.get(item, (b"", 0))[1] for item in keys] != expected:
            rows = [_encode_row(self.rows, *item) for item in keys if item in self.rows]
            return 412, {"rows": rows}
        self.version += 1
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            self.rows[item["table"], item["key"]] = (value, self.version)
            self.removed.pop((item["table"], item["key"]), None)
        for item in body["remove"]:
            self._drop((item["table"], item["key"]))
        return 200, {}


def _read_range(rows: StoreRows, query: dict[str, list[str]]) -> dict[str, Any]:
    table, start = query["table"][0], query.get("from", [""])[0]
    end, limit = query.get("target", ["\U0010ffff"])[0], int(query["limit"][0])
    keys = sorted(key for name, key in rows if name == table and start <= key < end)
    found = [_encode_row(rows, table, key) for key in keys[:limit]]
    return {"rows": found, "has_more": len(keys) > limit}


def _encode_row(rows: StoreRows, table: str, key: str) -> dict[str, Any]:
    value, version = rows[table, key]
    encoded = base64.b64encode(value).decode()
    return {"table": table, "part": "", "key": key, "value": encoded, "ver": version}
