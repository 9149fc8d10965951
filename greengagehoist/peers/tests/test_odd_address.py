"""Guards against a member's address that ends the dialling of it for good."""

import asyncio
import random

import pytest

from greengagehoist.membership import Member
from greengagehoist.peers import PeerController
from greengagehoist.peers._controller import _DialFailed
from greengagehoist.utils import SystemClock


@pytest.mark.parametrize(
    "address",
    ["127.0.0.1:99999", "a" * 300 + ":80", "nowhere", "[:80", "127.0.0.1:" + "9" * 5000, ""],
)
def test_address_that_cannot_be_dialled_is_backed_off(address):
    """The attempt stayed active, so that the address was never dialled again."""

    async def scenario():
        own = Member("vm0", "a", "127.0.0.1:0", 1)
        peers = PeerController(own, (), "secret", SystemClock(), random.Random(1))
        await peers._dial(address)
        assert peers._mailbox.get_nowait().message == _DialFailed(address)

    asyncio.run(scenario())
