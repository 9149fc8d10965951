"""Test double of a controller, and a helper that delivers one message synchronously."""

from greengagehoist.peers import SendTo
from greengagehoist.utils import Controller


class Recorder(Controller):
    """Records its messages and replies True to each request."""

    def __init__(self, name):
        super().__init__(name)
        self.told = []

    def tell(self, message):
        self.told.append(message)

    async def ask(self, message):
        self.told.append(message)
        return True

    def sent(self, kind):
        """Return the messages of type ``kind`` that were sent to peers."""
        found = [item.message for item in self.told if isinstance(item, SendTo)]
        return [item for item in found if isinstance(item, kind)]


def deliver(controller, message):
    """Call the message handler of ``controller``; return the list of its replies."""
    replies = []
    controller.handle(message, replies.append)
    return replies
