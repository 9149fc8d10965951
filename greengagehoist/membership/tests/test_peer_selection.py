"""Guards against too few or too many links between daemons, and against unstable selection."""

import pytest

from greengagehoist.membership import Member, choose_hub_links, choose_hubs, choose_peers


def members(count, data_centres):
    return tuple(
        Member(f"vm{index}", f"dc{index % data_centres}", f"127.0.0.1:{index}", 1)
        for index in range(count)
    )


@pytest.mark.parametrize("count", [1, 7, 16])
def test_small_roster_is_a_full_mesh(count):
    roster = members(count, 4)
    for item in roster:
        chosen = choose_peers(item.vm, item.data_centre, roster)
        assert set(chosen) == set(roster) - {item}


def test_large_roster_links_the_own_data_centre_and_two_in_each_other():
    roster = members(560, 12)
    for item in roster[::50]:
        chosen = choose_peers(item.vm, item.data_centre, roster)
        by_centre = {}
        for peer in chosen:
            by_centre.setdefault(peer.data_centre, []).append(peer)
        own = by_centre.pop(item.data_centre)
        assert len(own) == sum(m.data_centre == item.data_centre for m in roster) - 1
        assert {len(peers) for peers in by_centre.values()} == {2} and len(by_centre) == 11


def test_choice_does_not_depend_on_the_order_of_the_list():
    roster = members(60, 3)
    chosen = choose_peers("vm1", "dc1", roster)
    assert chosen == choose_peers("vm1", "dc1", roster[::-1])


def test_one_member_more_changes_few_choices():
    roster = members(60, 3)
    before = set(choose_peers("vm1", "dc1", roster[:-1]))
    assert len(before - set(choose_peers("vm1", "dc1", roster))) <= 1


def members_in_four_data_centres(count, large=()):
    return tuple(
        Member(f"vm{n}", f"dc{n % 4}", f"10.0.0.{n}:1", 1, 4.0 if n in large else 1.0)
        for n in range(count)
    )


def test_all_daemons_agree_on_the_hubs():
    members = members_in_four_data_centres(72)
    hubs = choose_hubs(members)
    assert len(hubs) == 8
    assert choose_hubs(tuple(reversed(members))) == hubs


def test_large_machines_become_hubs():
    assert {"vm3", "vm7"} <= choose_hubs(members_in_four_data_centres(72, large=(3, 7)))


def test_each_daemon_links_to_the_hubs_only():
    members = members_in_four_data_centres(72)
    hubs = choose_hubs(members)
    for member in members:
        links = {item.vm for item in choose_hub_links(member.vm, member.data_centre, members)}
        assert links == hubs - {member.vm}


def test_small_deployment_is_a_full_mesh():
    members = members_in_four_data_centres(7)
    assert choose_hubs(members) == {item.vm for item in members}
    assert len(choose_hub_links("vm0", "dc0", members)) == 6


def test_hubs_change_little_when_a_machine_leaves():
    members = members_in_four_data_centres(72)
    hubs = choose_hubs(members)
    removed_vm = min(hubs)
    after = choose_hubs(tuple(item for item in members if item.vm != removed_vm))
    assert len(hubs & after) == 7
