"""Wire codes of the peer messages."""

from greengagehoist.codec import MessageCodec
from greengagehoist.peers._messages import (
    ConfigPush,
    ConfigRequest,
    Goodbye,
    Heartbeat,
    Hello,
    LeaveMark,
    SharedRead,
    SharedReadRequest,
    StageCancel,
    StageFree,
    StageReserve,
    StageResult,
    StageSubmit,
    StageWaitTimes,
    TraceRequest,
    TraceSpans,
    Transfer,
    TransferRequest,
    UnitReply,
    UnitRequest,
    UnitReturn,
)

PEER_CODEC = MessageCodec(
    {
        Hello: 1,
        Heartbeat: 2,
        Goodbye: 3,
        LeaveMark: 4,
        ConfigPush: 5,
        ConfigRequest: 6,
        TransferRequest: 7,
        Transfer: 8,
        UnitRequest: 9,
        UnitReply: 10,
        UnitReturn: 11,
        TraceRequest: 12,
        TraceSpans: 13,
        StageSubmit: 14,
        StageResult: 15,
        StageCancel: 16,
        StageFree: 17,
        StageWaitTimes: 19,
        # 18, 20 and 21 are the tags of messages of earlier versions.
        SharedReadRequest: 22,
        SharedRead: 23,
        StageReserve: 24,
    }
)
