"""Encoding of calls to targets as JSON, and decoding of their replies."""

import itertools
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from greengagehoist.targets._calls import (
    Attempt,
    Chunk,
    ChunkWire,
    GenerateCall,
    OperationCall,
    OperationReply,
    OperationWire,
    PoolCall,
    RecordWire,
    RefusalWire,
    StageReply,
    StageWire,
    StreamEnd,
    TargetCall,
)

LEAVING = "leaving"
REFUSAL_REASONS = (LEAVING, "overloaded", "down", "model")


def path_of(call: TargetCall) -> str:
    """Return the path that a call is posted to."""
    match call:
        case PoolCall():
            return "/run"
        case GenerateCall():
            return "/generate"
        case OperationCall():
            return f"/operations/{call.operation}"


def body_of(call: TargetCall) -> dict[str, Any]:
    """Return the JSON body of a call."""
    match call:
        case PoolCall():
            return {**call.attempt._asdict(), "input": call.text, "deadline_ms": call.deadline_ms}
        case GenerateCall():
            return {
                **call.attempt._asdict(),
                "input": call.text,
                "model": call.model,
                "max_tokens": call.max_tokens,
                "offset": call.offset,
                "priority": call.priority,
                "deadline_ms": call.deadline_ms,
            }
        case OperationCall():
            return {
                "request_id": call.attempt.request_id,
                "attempt": call.attempt.attempt,
                "key": call.key,
                "args": call.args,
            }


def decode_stage(content: bytes) -> StageReply:
    """Decode a pool's reply.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    wire = msgspec.json.decode(content, type=StageWire)
    attempt = Attempt(wire["request_id"], wire["stage"], wire["attempt"])
    return StageReply(attempt, wire["output"], wire["digest"])


def decode_operation(content: bytes) -> OperationReply:
    """Decode a service's reply.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    wire = msgspec.json.decode(content, type=OperationWire)
    return OperationReply(wire["request_id"], wire["result"])


def decode_record(content: bytes) -> OperationReply | None:
    """Decode a service's stored result for a key; None if the operation has not run.

    :raises msgspec.MsgspecError: if it is malformed.
    """
    wire = msgspec.json.decode(content, type=RecordWire)
    answer = wire.get("answer")
    if not wire["ran"] or answer is None:
        return None
    return OperationReply(answer["request_id"], answer["result"])


def decode_line(line: bytes) -> Chunk | StreamEnd:
    """Decode one line of an engine's stream.

    :raises msgspec.MsgspecError: if it is malformed.
    :raises KeyError: if a field is missing.
    """
    wire = msgspec.json.decode(line, type=ChunkWire)
    attempt = Attempt(wire["request_id"], wire["stage"], wire["attempt"])
    if wire.get("end"):
        return StreamEnd(attempt, wire["length"], wire["digest"])
    return Chunk(attempt, wire["offset"], tuple(wire["tokens"]))


def merge_chunks(items: Iterable[Chunk | StreamEnd]) -> Iterator[Chunk | StreamEnd]:
    """Merge consecutive chunks of one attempt if each starts where the previous one ended.

    Other items are yielded unchanged, so that the caller can still detect gaps, overlaps and
    chunks of other attempts.
    """
    run: list[Chunk] = []
    for item in items:
        if run and not _continues(run[-1], item):
            yield _join(run)
            run = []
        if isinstance(item, Chunk):
            run.append(item)
        else:
            yield item
    if run:
        yield _join(run)


def _continues(chunk: Chunk, item: Chunk | StreamEnd) -> bool:
    return (
        isinstance(item, Chunk)
        and item.attempt == chunk.attempt
        and item.offset == chunk.offset + len(chunk.tokens)
    )


def _join(run: list[Chunk]) -> Chunk:
    if len(run) == 1:
        return run[0]
    return run[0]._replace(tokens=tuple(itertools.chain.from_iterable(c.tokens for c in run)))


def refusal_reason(content: bytes) -> str:
    """Return the reason for a refusal from the body of a 503, or "" if the work may have run.

    A 503 without a known reason may come from a component that failed after the work had run.
    """
    try:
        reason = msgspec.json.decode(content, type=RefusalWire)["error"]
    except msgspec.MsgspecError:
        return ""
    return reason if reason in REFUSAL_REASONS else ""
