"""Limits on the bytes that a peer may send in a response, and a client around its body.

A faulty peer may send bytes without end. Within these limits a daemon buffers them; beyond, the
message is invalid and its connection is closed.
"""

# Limit on consecutive bytes outside the body: interim responses, status line, headers, chunk
# headers with their extensions, and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# Limit on the header lines of a response, interim responses and trailers included: each costs far more
# memory than its bytes.
MAX_HEADER_LINES = 256
# Limit on the bytes around the chunks of a body, in addition to a multiple of the body's own. Chunks of
# one or two bytes keep a daemon busy for as long as their peer sends them.
MAX_CHUNK_FRAMING_BYTES = 32 * 1024
CHUNK_FRAMING_RATIO = 2
# The same for requests. Clients may send each byte in a chunk of its own, which takes five bytes more.
MAX_REQUEST_FRAMING_BYTES = 32 * 1024
REQUEST_FRAMING_RATIO = 8
# Bytes of a request that are parsed at once, apart from those that its announced length contains. A
# minimal request has 30 bytes and takes 2 KB when it is parsed.
PARSE_BYTES = 2048
# Memory of a header line besides its bytes: two objects and their tuple.
HEADER_LINE_BYTES = 160
# Limit on consecutive bytes of an event stream without an event, such as empty lines and comments.
MAX_EVENT_GAP_BYTES = 16 * 1024
# Limit on a body that is buffered as a whole. The largest are pages of the platform's store, of up
# to 1 MB and a third more for their encoding.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Bodies and events up to this size are buffered without a reservation of memory.
UNRESERVED_BYTES = 16 * 1024
# Limit on one event or line of a stream, and on one chunk of a streamed body.
MAX_EVENT_BYTES = 1024 * 1024


def exceeds_chunk_framing(framing_bytes: int, body_bytes: int) -> bool:
    """Return whether a peer has sent too many bytes around the chunks of a body.

    :param framing_bytes: bytes received outside the body.
    :param body_bytes: bytes of the body.
    """
    return framing_bytes > MAX_CHUNK_FRAMING_BYTES + CHUNK_FRAMING_RATIO * body_bytes


def exceeds_request_framing(framing_bytes: int, body_bytes: int) -> bool:
    """Return whether a client has sent too many bytes around the chunks of a body, or trailers.

    :param framing_bytes: bytes received after the head and outside the body.
    :param body_bytes: bytes of the body.
    """
    return framing_bytes > MAX_REQUEST_FRAMING_BYTES + REQUEST_FRAMING_RATIO * body_bytes
