"""Calls to targets: model engines, stage pools and plain services."""

from greengagehoist.targets._calls import (
    Attempt,
    Chunk,
    GenerateCall,
    LoadWire,
    OperationCall,
    OperationReply,
    PoolCall,
    Send,
    StageReply,
    StreamEnd,
    Target,
    TargetCall,
)
from greengagehoist.targets._link import (
    Cancel,
    ReadLoad,
    ReadRecord,
    SendOrder,
    TargetLeaving,
    TargetLink,
)

__all__ = [
    "Attempt",
    "Cancel",
    "Chunk",
    "GenerateCall",
    "LoadWire",
    "OperationCall",
    "OperationReply",
    "PoolCall",
    "ReadLoad",
    "ReadRecord",
    "TargetLeaving",
    "Send",
    "SendOrder",
    "StageReply",
    "StreamEnd",
    "Target",
    "TargetCall",
    "TargetLink",
]
