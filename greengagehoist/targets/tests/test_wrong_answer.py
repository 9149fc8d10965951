"""Guards against an answer that is no stream in the middle of a generation, on real sockets."""

import asyncio

import pytest
from returns.result import Failure

from greengagehoist.targets import Attempt, GenerateCall, Send, Target, TargetLink
from greengagehoist.utils import SystemClock

CHUNK = b'{"request_id":"r1","stage":"engine","attempt":2,"offset":3,"tokens":["a"]}\n'
ERROR = b"HTTP/1.1 500 X\r\ncontent-length: 6\r\n\r\nfailed"


def encode(status, body, headers=b""):
    return b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def encode_chunks(*parts):
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


# Answers to a generation that is resumed at token 3, with the number of chunks that are passed on.
ANSWERS = {
    "error": (ERROR, 0),
    "404": (encode(404, b"<html>\n\n</html>\n"), 0),
    "refusal": (encode(503, b'{"error":"overloaded"}'), 0),
    "json": (encode(200, b'{"error":"failed"}\n'), 0),
    "html": (encode_chunks(b"<html>\n", b"</html>\n") + b"0\r\n\r\n", 0),
    "empty": (encode(200, b""), 0),
    "no content": (b"HTTP/1.1 204 X\r\n\r\n", 0),
    "text after a chunk": (encode_chunks(CHUNK, b"failed\n") + b"0\r\n\r\n", 1),
    "head after a chunk": (encode_chunks(CHUNK) + ERROR, 1),
    "end after a chunk": (encode_chunks(CHUNK) + b"0\r\n\r\n", 1),
}


@pytest.mark.parametrize(("answer", "passed_on"), ANSWERS.values(), ids=ANSWERS)
def test_answer_that_is_no_stream_does_not_continue_a_generation(answer, passed_on):
    """The caller would get the text of an error, or an end before the last token."""
    received = []

    async def record(chunk):
        received.append(chunk)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await asyncio.sleep(0.05)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = TargetLink(Target("a", f"{host}:{port}", "dc", "engine", 1), SystemClock())
        task = asyncio.create_task(link.run())
        attempt = Attempt("r1", "engine", 2)
        try:
            return await link.ask(
                Send(GenerateCall(attempt, "text", 6, 3, 0, 5000, record), 5.0, 1.0)
            )
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            server.close()

    assert isinstance(asyncio.run(run()), Failure)
    assert [(chunk.offset, chunk.tokens) for chunk in received] in ([], [(3, ("a",))][:passed_on])
