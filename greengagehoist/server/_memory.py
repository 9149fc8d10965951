"""Memory of request bodies, in the account of the daemon."""

from typing import Any

from greengagehoist.memory import BodySpace, SmallBodies
from greengagehoist.utils import Controller

# Key of the request's memory in the ASGI scope.
SPACE = "greengagehoist.space"


class NoMemoryError(Exception):
    """A body was given up because others wait for its memory, or because none was free."""


class MemoryGate:
    """Passes requests on to ``app`` with the memory that their bodies take until the answer is sent.

    :param memory: controller of the daemon's memory.
    :param small: memory of small bodies, shared by all listeners.
    """

    def __init__(self, app: Any, memory: Controller, small: SmallBodies):
        self.app = app
        self.memory = memory
        self.small = small

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        client = scope.get("client") or ("", 0)
        space = BodySpace(self.memory, self.small, client[0], lambda: None)
        try:
            await self.app({**scope, SPACE: space}, receive, send)
        finally:
            space.release()
