"""Shared fixtures of the HTTP tests."""

import asyncio

import pytest

from greengagehoist.http1 import Socket


class FakeTransport(asyncio.Transport):
    """Records the written bytes."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False

    def get_extra_info(self, name, default=None):
        return None

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


@pytest.fixture
def connected():
    """Return a function that creates a socket with received bytes; needs an event loop."""

    def make(*chunks, eof=False, reset=False):
        sock = Socket()
        sock.connection_made(FakeTransport())
        for chunk in chunks:
            sock.data_received(chunk)
        if eof:
            sock.eof_received()
        if reset:
            sock.connection_lost(ConnectionResetError())
        return sock

    return make
