"""Stand-in of a controller for tests, and a way to handle one message at once."""

from greengagehoist.peers import SendTo
from greengagehoist.utils import Controller


class Recorder(Controller):
    """Keeps what it is told, and says that each message was sent."""

    def __init__(self, name):
        super().__init__(name)
        self.told = []

    def tell(self, message):
        self.told.append(message)

    async def ask(self, message):
        self.told.append(message)
        return True

    def sent(self, kind):
        """Return the messages of one kind that were sent to peers."""
        found = [item.message for item in self.told if isinstance(item, SendTo)]
        return [item for item in found if isinstance(item, kind)]


def send(controller, message):
    """Handle a message at once; returns its replies."""
    replies = []
    controller.handle(message, replies.append)
    return replies
