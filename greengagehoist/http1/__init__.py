"""HTTP/1.1 over asyncio: sockets, readers of requests and responses, serialization."""

from greengagehoist.http1._bounded_connection import (
    BODY_PROGRESS,
    BufferedConnection,
    ResponseTooLargeError,
    StreamConnection,
)
from greengagehoist.http1._connections import Admitted, ConnectionTable, Refused, Replacing
from greengagehoist.http1._limits import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_EVENT_GAP_BYTES,
    MAX_FRAMING_BYTES,
    UNRESERVED_BYTES,
)
from greengagehoist.http1._request import Request, RequestReader, SizeLimits
from greengagehoist.http1._response import ResponseReader
from greengagehoist.http1._socket import Socket, open_socket, write_request
from greengagehoist.http1._types import (
    LAST_CHUNK,
    Headers,
    IncompleteError,
    ProtocolError,
    RequestHead,
    ResponseHead,
    encode_chunk,
    encode_request,
    encode_response_head,
    end_to_end,
    get_header,
)

__all__ = [
    "BODY_PROGRESS",
    "LAST_CHUNK",
    "MAX_BODY_BYTES",
    "MAX_EVENT_BYTES",
    "MAX_EVENT_GAP_BYTES",
    "MAX_FRAMING_BYTES",
    "Admitted",
    "BufferedConnection",
    "ConnectionTable",
    "Headers",
    "IncompleteError",
    "ProtocolError",
    "Refused",
    "Replacing",
    "Request",
    "RequestHead",
    "RequestReader",
    "ResponseHead",
    "ResponseReader",
    "ResponseTooLargeError",
    "SizeLimits",
    "Socket",
    "StreamConnection",
    "UNRESERVED_BYTES",
    "encode_chunk",
    "encode_request",
    "encode_response_head",
    "end_to_end",
    "get_header",
    "open_socket",
    "write_request",
]
