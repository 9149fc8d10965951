"""Base class of tasks that own state and receive messages."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

Reply = Callable[[Any], None]


class Tick(NamedTuple):
    """Periodic message sent by :func:`tick`."""

    name: str = ""


class MessageFailedError(Exception):
    """A controller raised an error while it processed a message."""


class _Envelope(NamedTuple):
    message: Any
    reply: Reply
    fail: Callable[[Exception], None]


def _discard(value: Any) -> None:
    """Reply function of messages sent with :meth:`Controller.tell`."""


class Controller:
    """A task with exclusive access to its state that handles one message at a time.

    Subclasses implement :meth:`handle`, which must not wait for I/O. I/O runs in a task started
    with :meth:`start`, which sends its result back as a message.

    :param name: name in log lines.
    """

    def __init__(self, name: str):
        self.name = name
        self._mailbox: asyncio.Queue[_Envelope] = asyncio.Queue()
        self._tasks: set[asyncio.Task] = set()

    def tell(self, message: Any) -> None:
        """Queue a message without waiting for a reply."""
        self._mailbox.put_nowait(_Envelope(message, _discard, _discard))

    async def ask(self, message: Any) -> Any:
        """Queue a message and wait for the reply.

        :raises MessageFailedError: if :meth:`handle` raises an error.
        """
        fut = asyncio.get_running_loop().create_future()

        def reply(value: Any) -> None:
            if not fut.done():
                fut.set_result(value)

        def fail(exc: Exception) -> None:
            if not fut.done():
                fut.set_exception(exc)

        self._mailbox.put_nowait(_Envelope(message, reply, fail))
        return await fut

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message; ``reply`` may be called now or later, at most once."""
        raise NotImplementedError

    def start(self, coro: Any) -> asyncio.Task:
        """Run a coroutine as a task that is cancelled when the controller ends."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(f"event=task_failed owner={self.name}")

    async def run(self) -> None:
        """Handle messages until cancelled; an exception in :meth:`handle` is logged and skipped."""
        try:
            while True:
                envelope = await self._mailbox.get()
                try:
                    self.handle(envelope.message, envelope.reply)
                except Exception as exc:
                    kind = type(envelope.message).__name__
                    logger.exception(f"event=message_failed owner={self.name} message={kind}")
                    envelope.fail(MessageFailedError(f"{self.name} failed on {kind}: {exc!r}"))
        finally:
            for task in list(self._tasks):
                task.cancel()


async def tick(controller: Controller, clock: Any, period: float, name: str = "") -> None:
    """Send :class:`Tick` to ``controller`` every ``period`` seconds until cancelled."""
    while True:
        controller.tell(Tick(name))
        await clock.sleep(period)
