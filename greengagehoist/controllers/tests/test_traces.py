"""Guards against traces that miss the spans of reachable daemons or wait for unreachable ones."""

import asyncio
import random

from greengagehoist.controllers import CollectTrace, GetTrace, RecordSpans, TraceController
from greengagehoist.peers import FromPeer, GetPeers, Peer, SendTo, Subscribe
from greengagehoist.tracing import Span
from greengagehoist.utils import Controller

DATA_CENTRES = {"vm0": "dc1", "vm1": "dc1", "vm2": "dc2", "vm3": "dc2"}
# vm0 has no link to vm3, so vm2 has to ask vm3 on its behalf.
LINKS = {("vm0", "vm1"), ("vm0", "vm2"), ("vm2", "vm3")}


class Peers(Controller):
    """Fake peer controller that delivers messages to linked trace controllers."""

    def __init__(self, vm, network):
        super().__init__("peers")
        self.vm, self.network = vm, network

    def linked(self):
        pairs = [pair for pair in LINKS if self.vm in pair]
        return sorted({vm for pair in pairs for vm in pair} - {self.vm})

    def handle(self, message, reply):
        match message:
            case GetPeers():
                reply(tuple(Peer(vm, DATA_CENTRES[vm], 1, None, 0.0) for vm in self.linked()))
            case SendTo(vm, sent) if vm in self.network:
                self.network[vm].tell(FromPeer(self.vm, DATA_CENTRES[self.vm], 1, sent))
            case Subscribe():
                pass


def span(vm):
    return Span(
        "t" * 32, f"{random.Random(vm).getrandbits(64):016x}", "", "s", vm, "", 1.0, 0.1, "ok"
    )


def collect(unreachable=()):
    async def scenario():
        network, tasks = {}, []
        for vm, data_centre in DATA_CENTRES.items():
            peers = Peers(vm, network)
            traces = TraceController(peers, data_centre)
            traces.tell(RecordSpans((span(vm),)))
            if vm not in unreachable:
                network[vm] = traces
            tasks += [asyncio.create_task(item.run()) for item in (peers, traces)]
        spans = await network["vm0"].ask(CollectTrace("t" * 32))
        assert len(await network["vm0"].ask(GetTrace("t" * 32))) == 1
        for task in tasks:
            task.cancel()
        return {found.vm for found in spans}

    return asyncio.run(scenario())


def test_spans_of_all_daemons_are_collected_through_other_data_centres():
    assert collect() == set(DATA_CENTRES)


def test_unreachable_daemon_does_not_hold_back_the_others():
    assert collect(unreachable=("vm1", "vm3")) == {"vm0", "vm2"}
