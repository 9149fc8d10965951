"""Limits on the bytes that a peer may send in a response.

A faulty peer may send bytes without end. Within these limits a daemon buffers them; beyond, the
response is invalid and its connection is closed.
"""

# Limit on consecutive bytes outside the body: interim responses, status line, headers, chunk
# headers with their extensions, and trailers.
MAX_FRAMING_BYTES = 64 * 1024
# Limit on a body that is buffered as a whole. The largest are pages of the platform's store, of up
# to 1 MB and a third more for their encoding.
MAX_BODY_BYTES = 4 * 1024 * 1024
# Limit on one event or line of a stream, and on one chunk of a streamed body.
MAX_EVENT_BYTES = 1024 * 1024
