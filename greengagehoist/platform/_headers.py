"""Headers and bodies of the calls between clients, daemons and replicas."""

import math
import re
from typing import Any

import msgspec

from greengagehoist.gateway import (
    Exchange,
    GatewayRequest,
    Prompt,
    PromptPart,
    ReplicaReply,
    StageCall,
    parse_event_id,
)
from greengagehoist.http1 import (
    Headers,
    ProtocolError,
    RequestHead,
    ResponseHead,
    end_to_end,
    get_header,
)
from greengagehoist.pieces import InputGone, Made, NotMade, Piece, PieceOutcome, TooLate
from greengagehoist.replicas import (
    MAX_COLD_S,
    MAX_PAUSE_S,
    Limited,
    Load,
    Replica,
    SendLimit,
    Unlimited,
    UnreadableLimit,
)
from greengagehoist.utils import MAX_PORT, log_event, show_value

SERVICE_UNAVAILABLE = 503
READY_PATH = b"/greengagehoist/readyz"
STAGE_RUN_PATH = b"/greengagehoist/stage-run"
STAGE_FREE_PATH = b"/greengagehoist/stage-free"
HEADER_PREFIX = b"X-Greengagehoist-"

REQUEST_ID = HEADER_PREFIX + b"Request-Id"
DEADLINE_MS = HEADER_PREFIX + b"Deadline-Ms"
MODEL = HEADER_PREFIX + b"Model"
# Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_COUNT = HEADER_PREFIX + b"Token-Count"
# Despite its name a list: the hash and token count of each prompt part, in order.
PREFIX_HASH = HEADER_PREFIX + b"Prefix-Hash"
# Number of pieces of each stage, separated by commas.
SEGMENTS = HEADER_PREFIX + b"Segments"
SEGMENT_KEY = HEADER_PREFIX + b"Segment-Key"
INPUTS = HEADER_PREFIX + b"Inputs"
TENANT = HEADER_PREFIX + b"Tenant"
EXPECT_INSTANCE = HEADER_PREFIX + b"Expect-Instance"
PRIORITY = HEADER_PREFIX + b"Request-Priority"
NOT_EXECUTED = HEADER_PREFIX + b"Not-Executed"
SERVER_STAMP = HEADER_PREFIX + b"Server-Stamp"
LOAD_REPORT = HEADER_PREFIX + b"Load-Report"
LAST_EVENT_ID = b"Last-Event-Id"
SERVER_LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
# Despite its name a rate: requests a second that the replica takes from all daemons together.
SERVER_LIMIT = b"Server-Limit"
# Milliseconds for which the replica takes few requests.
COLD_MS = HEADER_PREFIX + b"Cold-Ms"
API_KEY = b"Api-Key"
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")

# Request headers that clients must not set or that the gateway replaces; they are dropped.
GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        INPUTS,
        TENANT,
        EXPECT_INSTANCE,
        PRIORITY,
        API_KEY,
        HEADER_PREFIX + b"Expect-Version",
        HEADER_PREFIX + b"Hold",
        HEADER_PREFIX + b"Pin-Ms",
        HEADER_PREFIX + b"Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
        b"Expect",
    )
)
# Larger numbers mean lower priority.
LOWEST_PRIORITY = 9
# "host:port/id" without the comma that separates handles in a header.
_HANDLE = re.compile(r"[!-+\--.0-~]+:([0-9]{1,5})/[!-+\--~]+")
MAX_HANDLE_CHARS = 512
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
MAX_SHOWN_CHARS = 40
# Digits of the numbers in headers.
MAX_NUMBER_DIGITS = 12
MAX_PIECE_COUNT_DIGITS = 5
MAX_TOKEN_DIGITS = 9
MAX_LOAD_DIGITS = 9
# The fourth figure of a load report is in percent of the usual duration, within these factors.
USUAL_PERCENT = 100
MIN_SLOWDOWN = 0.01
MAX_SLOWDOWN = 100.0
MAX_LOAD_FIGURES = 4


class PlatformWireFormat:
    """Implements :class:`~greengagehoist.gateway.WireFormat` for the hosting platform."""

    def __init__(self):
        self._unreadable_load_logged = False

    def read_request(self, head: RequestHead, body: bytes) -> GatewayRequest:
        """Decode a client's request.

        :raises ProtocolError: if a header is malformed.
        """
        headers = head.headers
        request_id = _text(headers, REQUEST_ID)
        if not request_id:
            raise ProtocolError(f"{REQUEST_ID.decode()}: missing, accepted: an id")
        deadline = _number(headers, DEADLINE_MS)
        path = head.target.partition(b"?")[0].decode("latin-1")
        return GatewayRequest(
            request_id=request_id,
            method=head.method,
            target=head.target,
            host=_host(headers),
            path=path,
            headers=end_to_end(headers, drop=GATEWAY_HEADERS),
            body=body,
            api_key=_text(headers, API_KEY),
            deadline_s=None if deadline is None else deadline / 1000,
            prompt=_prompt(headers),
            piece_counts=_numbers(headers, SEGMENTS, MAX_PIECE_COUNT_DIGITS),
            piece_key=_text(headers, SEGMENT_KEY) or "",
            last_event_id=_event_id(headers),
        )

    def replica_headers(
        self, exchange: Exchange, replica: Replica, left_s: float, resume_after: int | None
    ) -> Headers:
        """Return the headers of a request for a replica."""
        headers = exchange.req.headers
        if resume_after is not None:
            replaced = LAST_EVENT_ID.lower()
            headers = tuple(item for item in headers if item[0].lower() != replaced)
            headers += ((LAST_EVENT_ID, b"%d" % resume_after),)
        headers += (
            (DEADLINE_MS, b"%d" % max(1, int(left_s * 1000))),
            (EXPECT_INSTANCE, replica.replica_id.encode()),
        )
        if exchange.tenant is not None:
            headers += ((TENANT, exchange.tenant.name.encode()),)
        if exchange.req.prompt is not None:
            headers += ((PRIORITY, b"%d" % min(LOWEST_PRIORITY, exchange.rank)),)
        if exchange.route.stages:
            handles = (handle for _, results in exchange.inputs for handle in results)
            headers += ((INPUTS, ",".join(handles).encode()),)
        return headers

    def read_reply(self, head: ResponseHead) -> ReplicaReply:
        """Decode the headers of a replica's response."""
        load, unreadable = _load(head.headers)
        if unreadable and not self._unreadable_load_logged:
            self._unreadable_load_logged = True
            log_event(
                "load_report_unreadable", "WARNING", value=show_value(unreadable[:MAX_SHOWN_CHARS])
            )
        return ReplicaReply(
            request_id=_text(head.headers, REQUEST_ID),
            not_executed=get_header(head.headers, NOT_EXECUTED.lower()) is not None,
            signed=get_header(head.headers, SERVER_STAMP.lower()) is not None,
            load=load,
            leaving=_text(head.headers, SERVER_LEAVING) == "1",
            pause_s=_pause(head),
            limit=_limit(head.headers),
            cold_s=_cold(head.headers),
        )

    def reply_headers(self, exchange: Exchange) -> Headers:
        """Return the headers of an answer that the gateway itself creates."""
        return ((REQUEST_ID, exchange.req.request_id.encode("latin-1")),)

    def stage_call(self, replica: Replica, pieces: tuple[Piece, ...]) -> StageCall:
        """Encode a call that runs pieces."""
        headers = (
            (b"Host", replica.address.encode()),
            JSON_CONTENT_TYPE,
            (EXPECT_INSTANCE, replica.replica_id.encode()),
        )
        body = msgspec.json.encode({"items": [_piece(item) for item in pieces]})
        return StageCall(STAGE_RUN_PATH, headers, body)

    def read_pieces(self, body: bytes, count: int) -> tuple[PieceOutcome, ...]:
        """Decode the outcomes of ``count`` pieces.

        :raises ValueError: if the body is malformed.
        """
        try:
            raw = msgspec.json.decode(body)
        except RecursionError as exc:
            raise ValueError("response is nested too deeply") from exc
        items = raw.get("items") if isinstance(raw, dict) else None
        if not isinstance(items, list) or len(items) != count:
            raise ValueError(f"accepted: {count} items")
        return tuple(_piece_end(item) for item in items)

    def free_call(self, host: str, handles: tuple[str, ...]) -> StageCall:
        """Encode a call that frees the results with ``handles``."""
        body = msgspec.json.encode({"handles": handles})
        return StageCall(STAGE_FREE_PATH, ((b"Host", host.encode()), JSON_CONTENT_TYPE), body)


def _piece(piece: Piece) -> dict[str, Any]:
    item: dict[str, Any] = {
        "id": piece.request_id,
        "stage": piece.stage,
        # Index of the piece within its stage.
        "segment": piece.segment,
        "remaining_ms": max(1, int(piece.left_s * 1000)),
    }
    if piece.inputs:
        item["inputs"] = piece.inputs
    else:
        item["key"] = piece.key
    return item


def _piece_end(raw: Any) -> PieceOutcome:
    match raw:
        case {"handle": str(handle)} if _is_handle(handle):
            return Made(handle)
        case {"reason": "gone"}:
            return InputGone()
        case {"reason": "late"}:
            return TooLate()
        case {"reason": str(reason)}:
            return NotMade(reason)
    raise ValueError(f"accepted: a handle or a reason, got {show_value(raw)}")


def _is_handle(handle: str) -> bool:
    """Return whether a header can list the handle, and its results can be freed at its address."""
    found = _HANDLE.fullmatch(handle)
    return found is not None and 1 <= int(found[1]) <= MAX_PORT and len(handle) <= MAX_HANDLE_CHARS


def _host(headers: Headers) -> str:
    host = _text(headers, b"Host") or ""
    return host.partition(":")[0].lower()


def _text(headers: Headers, name: bytes) -> str | None:
    value = get_header(headers, name.lower())
    return None if value is None else value.strip().decode("latin-1")


def _is_number(text: str, max_digits: int) -> bool:
    # isdigit() alone also accepts superscript digits, which int() rejects.
    return text.isascii() and text.isdigit() and len(text) <= max_digits


def _number(headers: Headers, name: bytes) -> int | None:
    text = _text(headers, name)
    if text is None:
        return None
    if not _is_number(text, MAX_NUMBER_DIGITS):
        raise ProtocolError(
            f"{name.decode()}: got {text[:MAX_SHOWN_CHARS]!r}, accepted: a whole number"
        )
    return int(text)


def _event_id(headers: Headers) -> int | None:
    """Return the event after which the client resumes a stream, None if it names none.

    The replica that answers gets the header in any case, also with an id that is no number: clients
    send back whatever ids they have received.
    """
    text = _text(headers, LAST_EVENT_ID)
    if text is None:
        return None
    event_id = parse_event_id(text.encode("latin-1"))
    if event_id is None:
        log_event("request_header_ignored", header="Last-Event-Id", value=text[:MAX_SHOWN_CHARS])
    return event_id


def _numbers(headers: Headers, name: bytes, max_digits: int) -> tuple[int, ...]:
    text = _text(headers, name)
    if not text:
        return ()
    parts = [item.strip() for item in text.split(",")]
    if not all(_is_number(item, max_digits) for item in parts):
        raise ProtocolError(
            f"{name.decode()}: got {text[:MAX_SHOWN_CHARS]!r}, accepted: whole numbers"
        )
    return tuple(int(item) for item in parts)


def _prompt(headers: Headers) -> Prompt | None:
    """Return the prompt of an engine request, or None if the headers do not describe one."""
    model = _text(headers, MODEL)
    if model is None:
        return None
    counts = _numbers(headers, TOKEN_COUNT, MAX_TOKEN_DIGITS)
    parts = []
    for entry in (_text(headers, PREFIX_HASH) or "").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id and _is_number(tokens, MAX_TOKEN_DIGITS):
            parts.append(PromptPart(part_id, int(tokens)))
    tokens_in, tokens_out = counts if len(counts) == 2 else (0, 0)
    return Prompt(model, tokens_in, tokens_out, tuple(parts))


def _pause(head: ResponseHead) -> float | None:
    """Return for how long a replica that turned a request away wants no others, in seconds.

    A date or another malformed value is ignored: the replica's refusal is heeded all the same.
    """
    text = _text(head.headers, RETRY_AFTER) if head.status == SERVICE_UNAVAILABLE else None
    try:
        pause_s = float(text or "nan")
    except ValueError:
        return None
    return min(pause_s, MAX_PAUSE_S) if pause_s > 0 else None


def _cold(headers: Headers) -> float | None:
    """Return for how long a replica states to be cold, in seconds; None without a readable time."""
    text = _text(headers, COLD_MS)
    if text is None:
        return None
    if not _DECIMAL.fullmatch(text):
        return math.nan
    return min(float(text) / 1000, MAX_COLD_S)


def _limit(headers: Headers) -> SendLimit:
    """Return the limit that a response names, the smallest one if it names several."""
    lines = [value for name, value in headers if name.lower() == SERVER_LIMIT.lower()]
    if not lines:
        return Unlimited()
    text = b",".join(lines).decode("latin-1")
    values = [item.strip() for item in text.split(",")]
    if not all(_DECIMAL.fullmatch(item) for item in values):
        return UnreadableLimit(text[:MAX_SHOWN_CHARS])
    return Limited(min(float(item) for item in values))


def _load(headers: Headers) -> tuple[Load | None, str]:
    """Return the load that a response reports and, if a part of it is unreadable, its text.

    The load is None if its first three figures are unreadable. Replicas of some deployments add a
    fourth figure, the slowdown in percent; further ones are not known and ignored.
    """
    text = _text(headers, LOAD_REPORT)
    if not text:
        return None, ""
    parts = [item.strip() for item in text.split(",", MAX_LOAD_FIGURES)[:MAX_LOAD_FIGURES]]
    if len(parts) < 3 or not all(_is_number(item, MAX_LOAD_DIGITS) for item in parts[:3]):
        return None, text
    load = Load(*(int(item) for item in parts[:3]))
    if len(parts) == 3:
        return load, ""
    percent = float(parts[3]) if _DECIMAL.fullmatch(parts[3]) else 0.0
    if percent <= 0:
        return load, text
    slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, percent / USUAL_PERCENT))
    return load._replace(slowdown=slowdown), ""
