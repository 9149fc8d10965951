"""Controller that owns the peer listener and the links to all peers."""

import hmac
import random
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import WebSocketException

from greengagehoist.codec import MAX_FRAME_BYTES, FrameError
from greengagehoist.membership import Member, choose_peers
from greengagehoist.peers._handshakes import MAX_HANDSHAKES, HandshakeLimit
from greengagehoist.peers._link import (
    CLOSE_TIMEOUT_S,
    DEAD_AFTER_S,
    LinkClosed,
    LinkOpened,
    LinkReceived,
    PeerLink,
)
from greengagehoist.peers._messages import Goodbye, Heartbeat, Hello
from greengagehoist.peers._types import (
    Broadcast,
    CloseLinks,
    FromPeer,
    GetPeers,
    Peer,
    SendTo,
    SendToEach,
    SetMembers,
    Subscribe,
    UpdateHeartbeat,
)
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.utils import (
    Clock,
    Controller,
    Reply,
    Tick,
    TlsFiles,
    client_context,
    log_event,
    server_context,
    tick,
)

HEARTBEAT_PERIOD_S = 1.0
DIAL_PERIOD_S = 0.1
DIAL_TIMEOUT_S = 1.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
LISTEN_BACKLOG = 128
NO_TLS = TlsFiles()

_CONNECTION_OPTIONS = {
    "compression": None,
    "ping_interval": None,
    "close_timeout": CLOSE_TIMEOUT_S,
    "max_size": MAX_FRAME_BYTES,
    "open_timeout": DIAL_TIMEOUT_S,
}


class _LinkedPeer:
    """A peer with a working link."""

    def __init__(self, link: PeerLink, hello: Hello, now: float):
        self.link = link
        self.hello = hello
        self.last_frame = now
        self.heartbeat: Heartbeat | None = None


class _DialState:
    """Connection attempts to one address.

    :param vm: VM that last answered there; its ``Hello`` may state a different address.
    """

    def __init__(self):
        self.vm = ""
        self.active = False
        self.failures = 0
        self.not_before = 0.0


class _DialFailed(NamedTuple):
    address: str


class PeerController(Controller):
    """Keeps one link to each chosen peer and passes messages between peers and controllers.

    :param own: this daemon; port 0 in its address lets the operating system choose the port.
    :param seeds: addresses to dial while no member is known or no peer is linked.
    :param dead_after: seconds without a received frame after which a link is closed.
    :param heartbeat_period: seconds between heartbeats.
    :param choose: selects the members to link to.
    :param max_backoff: maximum delay between connection attempts to a peer, in seconds.
    :param max_handshakes: connections of peers that have not said who they are.
    """

    def __init__(
        self,
        own: Member,
        seeds: tuple[str, ...],
        credential: str,
        clock: Clock,
        rng: random.Random,
        dead_after: float = DEAD_AFTER_S,
        heartbeat_period: float = HEARTBEAT_PERIOD_S,
        tls: TlsFiles = NO_TLS,
        choose: Callable[[str, str, tuple[Member, ...]], tuple[Member, ...]] = choose_peers,
        max_backoff: float = MAX_BACKOFF_S,
        max_handshakes: int = MAX_HANDSHAKES,
    ):
        super().__init__("peers")
        self.own = own
        self.seeds = seeds
        self.credential = credential
        self.clock = clock
        self.rng = rng
        self.dead_after = dead_after
        self.heartbeat_period = heartbeat_period
        self.tls = tls
        self.choose = choose
        self.max_backoff = max_backoff
        self.handshakes = HandshakeLimit(max_handshakes, clock)
        self._socket: socket.socket | None = None
        self._linked: dict[str, _LinkedPeer] = {}
        self._dials: dict[str, _DialState] = {}
        self._own_addresses: set[str] = set()
        self._members: tuple[Member, ...] = ()
        self._subscribers: list[Subscribe] = []
        self._heartbeat = Heartbeat(0, 0, False, 0, 0.0, ())
        self._closing = False

    def listen(self) -> str:
        """Bind the listening socket and return its ``ip:port``.

        :raises OSError: if the address is not available.
        """
        host, _, port = self.own.address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host.strip("[]"), int(port)))
        sock.listen(LISTEN_BACKLOG)
        self._socket = sock
        self.own = self.own._replace(address=f"{host}:{sock.getsockname()[1]}")
        return self.own.address

    async def run(self) -> None:
        """Accept connections and maintain the links until cancelled."""
        if self._socket is None:
            self.listen()
        server = await serve(
            self._accept,
            sock=self._socket,
            backlog=LISTEN_BACKLOG,
            process_request=self._check_credential,
            ssl=server_context(self.tls, require_client=True),
            create_connection=self.handshakes.connection_type(),
            **_CONNECTION_OPTIONS,
        )
        self.start(tick(self, self.clock, DIAL_PERIOD_S, "dial"))
        self.start(tick(self, self.clock, self.heartbeat_period, "heartbeat"))
        try:
            await super().run()
        finally:
            server.close(close_connections=False)
            for entry in self._linked.values():
                entry.link.abort()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case LinkReceived(link, received):
                self._handle_link_received(link, received)
            case Tick("heartbeat"):
                self._heartbeat = self._heartbeat._replace(seq=self._heartbeat.seq + 1)
                self._broadcast(self._heartbeat)
            case Tick("dial"):
                self._dial_missing()
            case LinkOpened(link, hello):
                self.handshakes.complete(link.connection, MAX_FRAME_BYTES)
                self._handle_link_opened(link, hello)
            case LinkClosed(link, reason):
                self._handle_link_closed(link, reason)
            case _DialFailed(address):
                self._back_off(address)
            case SendTo(vm, outgoing):
                entry = self._linked.get(vm)
                reply(entry is not None and self._send(entry, outgoing))
            case SendToEach(vms, outgoing):
                found = [self._linked[vm] for vm in vms if vm in self._linked]
                reply(self._send_to_all(found, outgoing))
            case Broadcast(outgoing):
                reply(self._broadcast(outgoing))
            case Subscribe():
                self._subscribers.append(message)
            case GetPeers():
                reply(self._peers())
            case UpdateHeartbeat():
                fields = {k: v for k, v in message._asdict().items() if v is not None}
                self._heartbeat = self._heartbeat._replace(**fields)
            case SetMembers(members):
                self._members = self.choose(self.own.vm, self.own.data_centre, members)
            case CloseLinks(reason):
                self._close_links(reason)
                reply(None)

    def _hello(self) -> Hello:
        return Hello(self.own.vm, self.own.data_centre, self.own.incarnation, self.own.address)

    def _check_credential(self, connection: ServerConnection, request: Any) -> Any:
        values = request.headers.get_all("Authorization")
        presented = values[0].encode("utf-8", "surrogateescape") if len(values) == 1 else b""
        if self._closing or not hmac.compare_digest(
            presented, f"Bearer {self.credential}".encode()
        ):
            return connection.respond(HTTPStatus.UNAUTHORIZED, "unknown peer credential\n")
        return None

    async def _accept(self, connection: ServerConnection) -> None:
        await PeerLink(connection, self._hello(), self, dead_after=self.dead_after).run()

    def _dial_missing(self) -> None:
        if self._closing:
            return
        wanted = {item.address for item in self._members}
        if not wanted or not self._linked:
            wanted.update(self.seeds)
        linked = {entry.hello.address for entry in self._linked.values()}
        missing = wanted - linked - self._own_addresses - {self.own.address}
        now = self.clock.monotonic()
        for address in sorted(missing):
            state = self._dials.setdefault(address, _DialState())
            if not state.active and state.not_before <= now and state.vm not in self._linked:
                state.active = True
                self.start(self._dial(address))
        for address in [item for item in self._dials if item not in wanted]:
            if not self._dials[address].active:
                del self._dials[address]

    async def _dial(self, address: str) -> None:
        try:
            context = client_context(self.tls)
            connection = await connect(
                f"{'wss' if context else 'ws'}://{address}/",
                ssl=context,
                additional_headers={"Authorization": f"Bearer {self.credential}"},
                proxy=None,
                **_CONNECTION_OPTIONS,
            )
        except (WebSocketException, OSError, TimeoutError, EOFError, OverflowError, ValueError):
            # The last two are raised for addresses that are invalid.
            self.tell(_DialFailed(address))
            return
        await PeerLink(connection, self._hello(), self, address, self.dead_after).run()

    def _back_off(self, address: str) -> None:
        state = self._dials.setdefault(address, _DialState())
        state.active = False
        max_delay = min(self.max_backoff, MIN_BACKOFF_S * 2 ** min(state.failures, 10))
        state.failures += 1
        state.not_before = self.clock.monotonic() + self.rng.uniform(0.0, max_delay)

    def _handle_link_opened(self, link: PeerLink, hello: Hello) -> None:
        if hello.vm == self.own.vm:
            if hello.incarnation == self.own.incarnation and link.dialled:
                self._own_addresses.add(link.dialled)
            link.abort()
            return
        current = self._linked.get(hello.vm)
        if link.dialled in self._dials:
            self._dials[link.dialled].vm = hello.vm
            self._dials[link.dialled].failures = 0
        if self._closing or (current is not None and not self._replaces(link, hello, current)):
            link.close()
            return
        if current is not None:
            current.link.close()
        self._linked[hello.vm] = _LinkedPeer(link, hello, self.clock.monotonic())
        log_event("peer_linked", peer=hello.vm, address=hello.address, dialled=bool(link.dialled))
        self._deliver(hello, hello)
        link.offer(PEER_CODEC.encode(self._heartbeat))

    def _replaces(self, link: PeerLink, hello: Hello, current: _LinkedPeer) -> bool:
        """Return whether a new link to a peer replaces the current one.

        A link to a later incarnation of the peer wins. Otherwise both sides make the same decision:
        the link dialled by the VM with the lower name is kept, and of two links dialled by the same
        side, the newer one.
        """
        if hello.incarnation != current.hello.incarnation:
            return hello.incarnation > current.hello.incarnation
        if bool(link.dialled) == bool(current.link.dialled):
            return True
        return bool(link.dialled) == (self.own.vm < hello.vm)

    def _handle_link_closed(self, link: PeerLink, reason: str) -> None:
        if link.dialled:
            self._back_off(link.dialled)
        for vm, entry in list(self._linked.items()):
            if entry.link is link:
                del self._linked[vm]
                log_event("peer_lost", "WARNING", peer=vm, reason=reason)

    def _handle_link_received(self, link: PeerLink, message: Any) -> None:
        for entry in self._linked.values():
            if entry.link is link:
                entry.last_frame = self.clock.monotonic()
                if isinstance(message, Heartbeat):
                    entry.heartbeat = message
                self._deliver(entry.hello, message)
                return

    def _deliver(self, hello: Hello, message: Any) -> None:
        for subscriber in self._subscribers:
            if isinstance(message, subscriber.types):
                delivery = FromPeer(hello.vm, hello.data_centre, hello.incarnation, message)
                subscriber.controller.tell(delivery)

    def _send(self, entry: _LinkedPeer, message: Any) -> bool:
        try:
            return entry.link.offer(PEER_CODEC.encode(message))
        except FrameError as exc:
            log_event("frame_too_large", "ERROR", peer=entry.hello.vm, reason=str(exc))
            return False

    def _broadcast(self, message: Any) -> int:
        return self._send_to_all(list(self._linked.values()), message)

    def _send_to_all(self, entries: list[_LinkedPeer], message: Any) -> int:
        try:
            frame = PEER_CODEC.encode(message)
        except FrameError as exc:
            log_event("frame_too_large", "ERROR", reason=str(exc))
            return 0
        return sum(entry.link.offer(frame) for entry in entries)

    def _peers(self) -> tuple[Peer, ...]:
        now = self.clock.monotonic()
        return tuple(
            Peer(
                vm,
                entry.hello.data_centre,
                entry.hello.incarnation,
                entry.heartbeat,
                now - entry.last_frame,
            )
            for vm, entry in sorted(self._linked.items())
        )

    def _close_links(self, reason: str) -> None:
        self._closing = True
        self._broadcast(Goodbye(reason))
        for entry in self._linked.values():
            entry.link.close()
