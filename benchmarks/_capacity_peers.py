"""Cost of peer messages, peer links and peer selection."""

import asyncio
import random
import time
from collections.abc import Iterator

from benchmarks._capacity_fit import Series, cpu_us
from greengagehoist.membership import Member, choose_peers
from greengagehoist.peers import (
    ConfigPush,
    Heartbeat,
    Hello,
    LeaveMark,
    PeerController,
    Transfer,
    TransferRequest,
    UnitReply,
    UnitRequest,
    UnitReturn,
)
from greengagehoist.peers._link import LinkOpened, LinkReceived
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.utils import SteppedClock, SystemClock, Tick

DATA_CENTRES = 12
LINKS = (7, 34, 68, 136)
VMS = (7, 140, 280, 560)
MARKS = (0, 8, 32, 64)
CHANGES = (1, 10, 100)
IDS = (16, 32, 64)
SOCKET_DAEMONS = (4, 8, 16)
SOCKET_SECONDS = 4.0


class _StubLink:
    """Stub link that stores the last frame offered."""

    dialled = ""

    def __init__(self):
        self.frame = b""

    def offer(self, frame: bytes) -> bool:
        self.frame = frame
        return True


def make_members(count: int) -> tuple[Member, ...]:
    """Return entry VMs spread evenly over the data centres."""
    return tuple(
        Member(f"entry-{n:03}", f"dc{n % DATA_CENTRES}", f"10.0.{n // 250}.{n % 250}:7000", 1)
        for n in range(count)
    )


def make_change_value(changes: int) -> dict:
    """Return the table value of a configuration version with this number of changes."""
    value = {"plan": "crew", "credential_sha256": "0" * 64}
    listed = [["holdings", f"customer-{n:05}", value] for n in range(changes)]
    return {"op_id": "0" * 32, "author": "operator", "changes": listed, "digest": "0" * 64}


def _messages() -> Iterator[tuple[str, str, list]]:
    marks = tuple(LeaveMark(f"target-{n:05}", 1_767_225_600_000) for n in range(max(MARKS)))
    beats = [(n, Heartbeat(86_400, 48_000, True, 60, 0.5, marks[:n])) for n in MARKS]
    yield "heartbeat", "leave marks", beats
    pushes = [(n, ConfigPush(48_000, make_change_value(n))) for n in CHANGES]
    yield "config push", "changes", pushes
    start = 1_767_225_600
    for name, make in (
        ("transfer want", lambda i: TransferRequest(i, "customer-00001", "requests", start, 100)),
        ("transfer", lambda i: Transfer(i, "customer-00001", "requests", start, 100)),
        ("unit want", lambda i: UnitRequest(i, "customer-00001", "concurrency", 10.0)),
        ("unit lend", lambda i: UnitReply(i, True)),
        ("unit return", lambda i: UnitReturn(i)),
    ):
        yield name, "characters of the id", [(n, make("0" * n)) for n in IDS]


def measure_messages() -> list[Series]:
    """Return the frame size and the encoding and decoding CPU time of each message type."""
    found = []
    for name, per, cases in _messages():
        sizes, encoding, decoding = [], [], []
        for size, message in cases:
            frame = PEER_CODEC.encode(message)
            sizes.append((size, float(len(frame))))
            encoding.append((size, cpu_us(lambda m=message: PEER_CODEC.encode(m), 500)))
            decoding.append((size, cpu_us(lambda f=frame: PEER_CODEC.decode(f), 500)))
        found.append(Series(f"{name}: frame", "bytes", per, tuple(sizes)))
        found.append(Series(f"{name}: encode", "us", per, tuple(encoding)))
        found.append(Series(f"{name}: decode", "us", per, tuple(decoding)))
    return found


def _linked_controller(count: int) -> tuple[PeerController, list[_StubLink]]:
    own = Member("entry-self", "dc0", "10.9.0.1:7000", 1)
    controller = PeerController(own, (), "credential", SteppedClock(), random.Random(1))
    links = [_StubLink() for _ in range(count)]
    members = make_members(count)
    for link, member in zip(links, members, strict=True):
        hello = Hello(member.vm, member.data_centre, member.incarnation, member.address)
        controller.handle(LinkOpened(link, hello), lambda value: None)
    controller._members = members
    return controller, links


def measure_links() -> list[Series]:
    """Return the CPU time and bytes of a second of heartbeats by links, without sockets."""
    cpu, size, dial = [], [], []
    for count in LINKS:
        controller, links = _linked_controller(count)
        frame = PEER_CODEC.encode(Heartbeat(86_400, 48_000, True, 60, 0.5, ()))

        def idle_second(controller=controller, links=links, frame=frame) -> None:
            controller.handle(Tick("heartbeat"), lambda value: None)
            for link in links:
                received = LinkReceived(link, PEER_CODEC.decode(frame))
                controller.handle(received, lambda value: None)

        cpu.append((count, cpu_us(idle_second, 50)))
        size.append((count, float(count * len(frame))))
        dialling = cpu_us(lambda c=controller: c.handle(Tick("dial"), lambda value: None), 50)
        dial.append((count, 10 * dialling))
    return [
        Series("heartbeats: decision and codec", "us/s", "links", tuple(cpu)),
        Series("heartbeats: frames sent", "bytes/s", "links", tuple(size)),
        Series("search for missing links, 10 each second", "us/s", "links", tuple(dial)),
    ]


def measure_choice() -> list[Series]:
    """Return the CPU time of selecting peers and the number of resulting links per daemon."""
    cpu, chosen, linked = [], [], []
    for count in VMS:
        members = make_members(count)
        own = members[0]
        cpu.append((count, cpu_us(lambda o=own, m=members: choose_peers(o[0], o[1], m), 5)))
        pairs = set()
        for member in members:
            for peer in choose_peers(member.vm, member.data_centre, members):
                pairs.add(frozenset((member.vm, peer.vm)))
        chosen.append((count, float(len(choose_peers(own.vm, own.data_centre, members)))))
        linked.append((count, 2 * len(pairs) / count))
    return [
        Series("choice of peers", "us", "VMs", tuple(cpu)),
        Series("links that a daemon chooses", "links", "VMs", tuple(chosen)),
        Series("links of a daemon, those chosen by peers included", "links", "VMs", tuple(linked)),
    ]


async def _measure_idle_daemons(count: int) -> float:
    """Return the CPU time (us) per second of idle, fully linked peer controllers."""
    controllers: list[PeerController] = []
    for index in range(count):
        seeds = tuple(item.own.address for item in controllers)
        own = Member(f"vm{index}", "dc0", "127.0.0.1:0", 1)
        controller = PeerController(own, seeds, "credential", SystemClock(), random.Random(index))
        controller.listen()
        controllers.append(controller)
    tasks = [asyncio.create_task(item.run()) for item in controllers]
    while any(len(item._linked) < count - 1 for item in controllers):
        await asyncio.sleep(0.1)
    start, began = time.process_time(), time.monotonic()
    await asyncio.sleep(SOCKET_SECONDS)
    cpu_per_second = (time.process_time() - start) / (time.monotonic() - began)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return 1e6 * cpu_per_second


def measure_sockets() -> list[Series]:
    """Return the CPU time of a daemon's idle links per second, over loopback sockets.

    All daemons run in this process, so the total is divided by their number.
    """
    points = [
        (count - 1, asyncio.run(_measure_idle_daemons(count)) / count) for count in SOCKET_DAEMONS
    ]
    return [Series("idle links of a daemon over loopback", "us/s", "links", tuple(points))]


def measure() -> list[Series]:
    """Return all series of this module."""
    return [*measure_messages(), *measure_links(), *measure_choice(), *measure_sockets()]
