"""Guards against decoding all of a large configuration again for a small change."""

import msgspec
import pytest

from greengagehoist.platform._config import DeploymentDecoder
from greengagehoist.standins._large_configuration import large_configuration


def text(**fields):
    return msgspec.json.encode(large_configuration(**fields)).decode()


def by_name(deployment):
    return {item.name: item for found in deployment.routes.values() for item in found}


@pytest.fixture
def decoder():
    return DeploymentDecoder()


def test_entries_that_did_not_change_are_kept(decoder):
    before = decoder.decode(text(version=1, routes=50, tenants=20))
    after = decoder.decode(text(version=2, routes=51, tenants=21, changed=1))
    old, new = by_name(before), by_name(after)
    assert [name for name in old if old[name] is not new[name]] == ["route-0"]
    assert new["route-0"].timeout_s == 9.0
    assert all(after.tenants[key] is tenant for key, tenant in before.tenants.items())
    assert (len(new), len(after.tenants)) == (51, 21)


def test_kept_entries_give_the_same_configuration(decoder):
    later = text(version=2, routes=30, tenants=10, changed=3)
    decoder.decode(text(version=1, routes=60, tenants=20, seed=2))
    assert decoder.decode(later) == DeploymentDecoder().decode(later)


def test_malformed_configuration_leaves_the_known_entries(decoder):
    source = text(version=1, routes=5, tenants=2)
    before = decoder.decode(source)
    with pytest.raises(KeyError):
        decoder.decode('{"version":2,"routes":[{}],"services":[]}')
    assert by_name(decoder.decode(source))["route-0"] is by_name(before)["route-0"]


@pytest.mark.parametrize(
    ("tenants", "checks_keys", "keys"),
    [
        ("", False, []),
        (',"tenants":null', False, []),
        (',"tenants": null ', False, []),
        (',"tenants":[]', True, []),
        (',"tenants":[{"name":"t","api_keys":["k"]}]', True, ["k"]),
    ],
)
def test_configuration_without_tenants_checks_no_keys(decoder, tenants, checks_keys, keys):
    found = decoder.decode('{"version":2,"routes":[],"services":[]' + tenants + "}")
    assert (found.checks_keys, list(found.tenants)) == (checks_keys, keys)


def test_later_one_of_two_tenants_with_the_same_key_holds_it(decoder):
    one, two = '{"name":"a","api_keys":["k"]}', '{"name":"b","api_keys":["k"]}'
    for listed in ([one, two], [two, one], [one, two, one]):
        source = f'{{"version":2,"routes":[],"services":[],"tenants":[{",".join(listed)}]}}'
        assert decoder.decode(source).tenants["k"].name == ("a" if listed[-1] is one else "b")
