"""Controller that owns the VM roster, tracks the liveness of peers and checks the clock."""

from typing import Any, NamedTuple

from returns.result import Success

from greengagehoist.membership import VM_LIFECYCLE, Member, VmState
from greengagehoist.peers import FromPeer, GetPeers, Goodbye, Hello, SetMembers, Subscribe
from greengagehoist.platform_client import ListVms, ReadRow, SetVmCount, Vm
from greengagehoist.quota import CLOCK_MARGIN_S
from greengagehoist.utils import Clock, Controller, Reply, Tick, log_event, tick

ENTRY_ROLE = "entry"
LIST_PERIOD_S = 0.5
# With many daemons, each reads the list less often, so that all of them together stay within the
# platform's read rate.
MAX_LIST_READS_PER_S = 280.0
CLOCK_PERIOD_S = 10.0
CLOCK_ROW = "clock"


class VmsListed(NamedTuple):
    """Pass the VM list to the controllers that depend on it."""

    vms: tuple[Vm, ...]


class GetRoster(NamedTuple):
    """Ask for the roster; replied by :class:`Roster`."""


class Roster(NamedTuple):
    """The VMs as this daemon sees them.

    :param entries: state of each entry VM.
    :param clock_error: smallest offset in seconds of the table's clock from this daemon's clock
        that is consistent with the last comparison, None before the first.
    """

    vms: tuple[Vm, ...]
    entries: dict[str, VmState]
    clock_error: float | None
    clock_within_margin: bool


class ClockChecked(NamedTuple):
    """Report whether this daemon's clock is within the margin of the table's clock."""

    within: bool


class _ClockCompared(NamedTuple):
    error: float


class _PeersRead(NamedTuple):
    vms: frozenset[str]


def clock_error(before: float, after: float, table_now: float) -> float:
    """Return the smallest clock offset in seconds that is consistent with the table's time.

    :param before: wall-clock time of this daemon before the call.
    :param after: wall-clock time of this daemon after the call.
    """
    if table_now < before:
        return table_now - before
    return max(0.0, table_now - after)


class RosterController(Controller):
    """Polls the VM list, passes it on, tracks the peers and compares clocks with the table.

    :param followers: controllers that receive :class:`VmsListed` and :class:`ClockChecked`.
    """

    def __init__(
        self,
        platform: Controller,
        peers: Controller,
        followers: tuple[Controller, ...],
        clock: Clock,
    ):
        super().__init__("roster")
        self.platform = platform
        self.peers = peers
        self.followers = followers
        self.clock = clock
        self._vms: tuple[Vm, ...] = ()
        self._entries: dict[str, VmState] = {}
        self._clock_error: float | None = None
        self._clock_within_margin = True

    async def run(self) -> None:
        """Poll the VM list and the table's clock until cancelled."""
        self.peers.tell(Subscribe((Hello, Goodbye), self))
        self.start(self._poll_list())
        self.start(tick(self, self.clock, CLOCK_PERIOD_S, "clock"))
        await super().run()

    def handle(self, message: Any, reply: Reply) -> None:
        """Process one message."""
        match message:
            case VmsListed(vms):
                self._apply_list(vms)
            case Tick("clock"):
                self.start(self._compare_clock())
            case _ClockCompared(error):
                self._apply_clock(error)
            case FromPeer(vm, _, _, Hello()):
                self._entries[vm] = VmState.JOINING
                self._advance(vm, "linked")
            case FromPeer(vm, _, _, Goodbye()):
                self._advance(vm, "goodbye")
            case _PeersRead(vms):
                self._apply_peers(vms)
            case GetRoster():
                reply(
                    Roster(
                        self._vms, dict(self._entries), self._clock_error, self._clock_within_margin
                    )
                )

    async def _poll_list(self) -> None:
        while True:
            match await self.platform.ask(ListVms()):
                case Success(vms):
                    self.tell(VmsListed(vms))
            entries = sum(vm.role == ENTRY_ROLE for vm in self._vms)
            await self.clock.sleep(max(LIST_PERIOD_S, entries / MAX_LIST_READS_PER_S))

    def _apply_list(self, vms: tuple[Vm, ...]) -> None:
        self._vms = vms
        entries = [vm for vm in vms if vm.role == ENTRY_ROLE and vm.state == "live"]
        members = [Member(vm.vm, vm.data_centre, vm.address, vm.incarnation) for vm in entries]
        self.peers.tell(SetMembers(tuple(members)))
        self.platform.tell(SetVmCount(len(members)))
        for follower in self.followers:
            follower.tell(VmsListed(vms))
        self.start(self._read_peers())

    async def _read_peers(self) -> None:
        found = await self.peers.ask(GetPeers())
        self.tell(_PeersRead(frozenset(peer.vm for peer in found)))

    def _apply_peers(self, linked: frozenset[str]) -> None:
        listed = {vm.vm for vm in self._vms if vm.role == ENTRY_ROLE}
        for vm in listed:
            self._entries.setdefault(vm, VmState.JOINING)
        for vm in list(self._entries):
            if vm in linked:
                self._advance(vm, "linked")
            elif vm in listed:
                self._advance(vm, "silent")
            else:
                del self._entries[vm]

    def _advance(self, vm: str, trigger: str) -> None:
        state = self._entries.get(vm, VmState.JOINING)
        self._entries[vm] = VM_LIFECYCLE.advance(state, trigger)

    async def _compare_clock(self) -> None:
        before = self.clock.now().timestamp()
        match await self.platform.ask(ReadRow(CLOCK_ROW)):
            case Success(rows):
                after = self.clock.now().timestamp()
                self.tell(_ClockCompared(clock_error(before, after, rows.now)))

    def _apply_clock(self, error: float) -> None:
        self._clock_error = error
        within = abs(error) <= CLOCK_MARGIN_S
        if within is not self._clock_within_margin:
            level = "INFO" if within else "ERROR"
            log_event("clock_checked", level, error_s=round(error, 3), within_margin=within)
        self._clock_within_margin = within
        for follower in self.followers:
            follower.tell(ClockChecked(within))
