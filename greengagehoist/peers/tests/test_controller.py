"""Guards against peer links that are missing, dead, duplicated or unauthenticated."""

import asyncio

import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from greengagehoist.membership import Member
from greengagehoist.peers import (
    Broadcast,
    CloseLinks,
    ConfigRequest,
    FromPeer,
    GetPeers,
    Goodbye,
    Hello,
    LeaveMark,
    SendTo,
    SendToEach,
    SetMembers,
    Subscribe,
    UpdateHeartbeat,
)
from greengagehoist.peers._wire import PEER_CODEC
from greengagehoist.peers.tests.conftest import CREDENTIAL, Mailbox, linked_vms, until


def set_members(controllers):
    return SetMembers(tuple(item.own for item in controllers))


async def wait_for_full_mesh(controllers):
    async def complete():
        return all([len(await linked_vms(c)) == len(controllers) - 1 for c in controllers])

    await until(complete)


def test_peers_link_in_a_full_mesh_and_exchange_messages(start_peers):
    async def scenario():
        async with start_peers(3) as peers:
            for item in peers:
                item.tell(set_members(peers))
            await wait_for_full_mesh(peers)
            mailbox = Mailbox()
            task = asyncio.create_task(mailbox.run())
            peers[1].tell(Subscribe((ConfigRequest, LeaveMark), mailbox))
            assert await peers[0].ask(SendTo("vm1", ConfigRequest(7)))
            assert await peers[2].ask(Broadcast(LeaveMark("engine-1", 4))) == 2
            assert not await peers[0].ask(SendTo("nobody", ConfigRequest(7)))
            assert await peers[0].ask(SendToEach(("vm2", "nobody"), ConfigRequest(8))) == 1

            async def arrived():
                return len(mailbox.received) == 2

            await until(arrived)
            assert set(mailbox.received) == {
                FromPeer("vm0", "dc1", 1, ConfigRequest(7)),
                FromPeer("vm2", "dc1", 1, LeaveMark("engine-1", 4)),
            }
            task.cancel()

    asyncio.run(scenario())


def test_both_sides_dialling_leaves_one_connection(start_peers):
    async def scenario():
        async with start_peers(2) as (first, second):
            for item in (first, second):
                item.tell(set_members((first, second)))
            await wait_for_full_mesh((first, second))

            async def one_link():
                counts = [len(item._linked) for item in (first, second)]
                dialled = [entry.link.dialled for entry in first._linked.values()]
                dialled += [entry.link.dialled for entry in second._linked.values()]
                return counts == [1, 1] and sum(map(bool, dialled)) == 1

            await until(one_link)
            assert await first.ask(SendTo("vm1", ConfigRequest(1)))

    asyncio.run(scenario())


def test_heartbeats_carry_the_state(start_peers):
    async def scenario():
        async with start_peers(2) as (first, second):
            first.tell(UpdateHeartbeat(config_version=12, leave_marks=(LeaveMark("t", 3),)))

            async def arrived():
                peers = await second.ask(GetPeers())
                return peers and peers[0].heartbeat and peers[0].heartbeat.config_version == 12

            await until(arrived)
            (peer,) = await second.ask(GetPeers())
            assert peer.heartbeat.leave_marks == (LeaveMark("t", 3),)

    asyncio.run(scenario())


def test_peer_without_the_credential_is_refused(start_peers):
    async def scenario():
        other = "another-credential-for-tests"
        async with start_peers(3, credentials=(CREDENTIAL, other, CREDENTIAL)) as peers:
            for item in peers:
                item.tell(set_members(peers))

            async def others_linked():
                return await linked_vms(peers[0]) == {"vm2"}

            await until(others_linked)
            assert await linked_vms(peers[1]) == set()

    asyncio.run(scenario())


async def dial_as(controller, vm):
    """Open a raw connection as ``vm``, which sends ``Hello`` and no heartbeats."""
    headers = {"Authorization": f"Bearer {CREDENTIAL}"}
    url = f"ws://{controller.own.address}/"
    connection = await connect(url, additional_headers=headers, compression=None, proxy=None)
    await connection.send(PEER_CODEC.encode(Hello(vm, "dc1", 1, "127.0.0.1:1")))
    return connection


def test_silent_link_is_dropped_and_replaced(start_peers):
    async def scenario():
        async with start_peers(1, dead_after=0.3) as (controller,):
            await dial_as(controller, "vm9")

            async def linked():
                return await linked_vms(controller) == {"vm9"}

            async def dropped():
                return await linked_vms(controller) == set()

            await until(linked)
            await until(dropped)
            await dial_as(controller, "vm9")
            await until(linked)

    asyncio.run(scenario())


def test_link_to_a_peer_that_does_not_read_is_dropped_at_the_queue_limit(start_peers):
    async def scenario():
        async with start_peers(1, dead_after=30.0) as (controller,):
            connection = await dial_as(controller, "vm9")
            connection.transport.pause_reading()

            async def linked():
                return await linked_vms(controller) == {"vm9"}

            await until(linked)
            link = controller._linked["vm9"].link
            large = Goodbye("x" * 900_000)
            queued = []
            for _ in range(400):
                if not await controller.ask(SendTo("vm9", large)):
                    break
                queued.append(link._queued_bytes)
                await asyncio.sleep(0)
            assert len(queued) < 400 and max(queued) <= 8 * 1024 * 1024

            async def dropped():
                return await linked_vms(controller) == set()

            await until(dropped)

    asyncio.run(scenario())


def test_malformed_frame_closes_the_link_and_unknown_type_does_not(start_peers):
    async def scenario():
        async with start_peers(1) as (controller,):
            connection = await dial_as(controller, "vm9")

            async def linked():
                return await linked_vms(controller) == {"vm9"}

            await until(linked)
            await connection.send(b"\x82\x19\xff\xff\x01")
            await connection.send(PEER_CODEC.encode(ConfigRequest(1)))
            await asyncio.sleep(0.1)
            assert await linked()
            await connection.send(b"\x82\x06\x61x")

            async def dropped():
                return await linked_vms(controller) == set()

            await until(dropped)

    asyncio.run(scenario())


def test_restarted_peer_replaces_its_older_incarnation(start_peers):
    async def scenario():
        async with start_peers(1) as (controller,):
            await dial_as(controller, "vm9")
            headers = {"Authorization": f"Bearer {CREDENTIAL}"}
            url = f"ws://{controller.own.address}/"
            newer = await connect(url, additional_headers=headers, compression=None, proxy=None)
            await newer.send(PEER_CODEC.encode(Hello("vm9", "dc1", 2, "127.0.0.1:1")))

            async def replaced():
                return [p.incarnation for p in await controller.ask(GetPeers())] == [2]

            await until(replaced)

    asyncio.run(scenario())


def test_goodbye_reaches_peers_before_the_links_close(start_peers):
    async def scenario():
        async with start_peers(2) as (first, second):
            await wait_for_full_mesh((first, second))
            mailbox = Mailbox()
            task = asyncio.create_task(mailbox.run())
            second.tell(Subscribe((Goodbye,), mailbox))
            await first.ask(CloseLinks("drained"))

            async def arrived():
                return bool(mailbox.received)

            await until(arrived)
            assert mailbox.received[0].message == Goodbye("drained")
            task.cancel()

    asyncio.run(scenario())


def test_member_of_the_vm_list_is_linked_without_seeds(start_peers):
    async def scenario():
        async with start_peers(2) as (first, second):
            second.tell(SetMembers((Member("vm0", "dc1", first.own.address, 1),)))
            await wait_for_full_mesh((first, second))

    asyncio.run(scenario())


def test_handshakes_without_end_do_not_keep_peers_away(start_peers):
    """Guards against connections that take all descriptors without saying who they are."""

    async def scenario():
        async with start_peers(2) as peers:
            peers[0].handshakes.limit = 5
            host, port = peers[0].own.address.split(":")
            silent = [await asyncio.open_connection(host, int(port)) for _ in range(40)]

            async def closed():
                return peers[0].handshakes.closed >= 35

            await until(closed)
            for item in peers:
                item.tell(set_members(peers))
            await wait_for_full_mesh(peers)
            for _, writer in silent:
                writer.transport.abort()

    asyncio.run(scenario())


def test_large_message_before_hello_ends_the_connection(start_peers):
    """Guards against messages of unknown senders that take memory before they are refused."""

    async def scenario():
        async with start_peers(1) as peers:
            headers = {"Authorization": f"Bearer {CREDENTIAL}"}
            async with connect(
                f"ws://{peers[0].own.address}/", additional_headers=headers, proxy=None
            ) as connection:
                with pytest.raises(ConnectionClosed):
                    await connection.send(b"x" * 1_000_000)
                    while True:
                        await connection.recv()
                assert connection.close_code == 1009

    asyncio.run(scenario())


def test_large_message_after_hello_is_delivered(start_peers):
    async def scenario():
        async with start_peers(2) as peers:
            for item in peers:
                item.tell(set_members(peers))
            await wait_for_full_mesh(peers)
            mailbox = Mailbox()
            task = asyncio.create_task(mailbox.run())
            peers[0].tell(Subscribe((LeaveMark,), mailbox))
            peers[1].tell(Subscribe((LeaveMark,), mailbox))
            mark = LeaveMark("r" * 500_000, 4)
            for sender in peers:
                await sender.ask(Broadcast(mark))

            async def arrived():
                return len(mailbox.received) == 2

            await until(arrived)
            task.cancel()

    asyncio.run(scenario())
