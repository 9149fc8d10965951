"""Stand-in of the platform's store."""

import asyncio
import base64
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
    """State of a store at one moment."""

    version: int
    rows: StoreRows


class StoreStandin(HttpStandin):
    """Store of the platform: versioned rows and transactions conditional on row versions.

    :ivar available: False to respond to every call with 503.
    :ivar era: number of restores from a copy, stated in all responses.
    :ivar delayed: reads of these tables get the response of their arrival once the event is set,
        so that it may be late and of an earlier era.
    :ivar endless: response to every call, None for the store's own.
    :ivar endless_bytes: number of bytes of each endless response.
    """

    def __init__(self):
        super().__init__()
        self.rows: StoreRows = {}
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

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, key), None)

    def copy(self) -> StoreCopy:
        """Return a copy of the rows and the version counter, to restore them from."""
        return StoreCopy(self.version, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and begin the next era; what was written since is lost."""
        self.version, self.rows = copy.version, dict(copy.rows)
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
        path, _, query = request.head.target.decode().partition("?")
        if path.endswith("/rows-get"):
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
        for item in body["remove"]:
            self.rows.pop((item["table"], item["key"]), None)
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
