"""Guards against log lines that block the daemon, are dropped uncounted or cannot be parsed."""

import os

import pytest

from greengagehoist.utils import BoundedWriter, parse_pairs
from greengagehoist.utils._logging import BURST_LINES, LINES_PER_S, _format_pairs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(fd):
    data = b""
    while True:
        try:
            data += os.read(fd, 65536)
        except BlockingIOError:
            return data.decode()


def test_lines_are_written_in_order(pipe):
    writer = BoundedWriter(pipe[1], clock=lambda: 0.0)
    for number in range(3):
        writer.write(f"n={number}\n")
    assert read_all(pipe[0]) == "n=0\nn=1\nn=2\n"


def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    writer = BoundedWriter(pipe[1], clock=lambda: 0.0)
    for _ in range(int(BURST_LINES)):
        writer.write("x" * 99 + "\n")
    assert writer.dropped > 0
    read_all(pipe[0])
    writer.clock = lambda: 1.0
    writer.write("last\n")
    assert "event=log_lines_dropped count=" in read_all(pipe[0])


def test_lines_over_the_rate_limit_are_dropped(pipe):
    now = [0.0]
    writer = BoundedWriter(pipe[1], clock=lambda: now[0], writable=lambda fd: True)
    os.set_blocking(pipe[1], False)
    for _ in range(int(BURST_LINES) + 10):
        writer.write("\n")
    assert writer.dropped == 10
    now[0] += 10 / LINES_PER_S
    for _ in range(10):
        writer.write("\n")
    assert read_all(pipe[0]).count("\n") == BURST_LINES + 11


def test_overlong_line_is_truncated(pipe):
    writer = BoundedWriter(pipe[1], clock=lambda: 0.0)
    writer.write("x" * 10_000)
    assert len(read_all(pipe[0])) < 4096


@pytest.mark.parametrize("value", ["plain", "two words", 'a "quoted" one', "back\\slash x", "a=b"])
def test_formatted_pairs_are_parsed_back(value):
    line = f"  12.5 edge-1 ts=1 {_format_pairs({'event': 'e', 'reason': value, 'n': 3})} vm=x"
    pairs = parse_pairs(line)
    assert (pairs["event"], pairs["reason"], pairs["n"], pairs["vm"]) == ("e", value, "3", "x")


def test_truncated_line_does_not_join_the_next_one(pipe):
    writer = BoundedWriter(pipe[1], clock=lambda: 0.0)
    writer.write("x" * 10_000 + "\n")
    writer.write("event=next\n")
    assert read_all(pipe[0]).splitlines()[-1] == "event=next"
