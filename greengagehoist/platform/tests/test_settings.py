"""Guards against settings that are only partly decoded or decoded to wrong values."""

import pytest

from greengagehoist.gateway import DEFAULT_MAX_FDS, ClientLimits
from greengagehoist.platform import read_settings
from greengagehoist.utils import ValidationError

TEXT = """
node_name: "edge-1"
zone: "zone-a"
ip: "10.1.0.41"
unknown_field: [1, 2]
listen: {frontend: "10.1.0.41:8625", ready: "10.1.0.41:8621"}
internal_ports: [7740, 7755]
limits: {memory_mb: 300, cpu_fraction: 0.5, cores: 2, link_mbps: 1000.0}
bounds:
  drain_ms: 2000
  grace_s: 8
  config_apply_ms: 2500
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_budget_slack: 54
platform: {address: "10.200.1.7:8624", form: "table"}
"""


def test_settings_are_read_with_their_units():
    settings = read_settings(TEXT)
    assert settings.vm == "edge-1"
    assert settings.peers == "10.1.0.41:7740"
    assert settings.bounds.apply_s == 2.5
    assert settings.bounds.retry_slack == 54
    assert settings.capacity == 1.0


def test_limits_on_clients_have_defaults():
    settings = read_settings(TEXT)
    assert settings.client_limits == ClientLimits()
    assert settings.max_fds == DEFAULT_MAX_FDS


def test_limits_on_clients_are_read():
    text = TEXT.replace("memory_mb: 300", "memory_mb: 160, max_fds: 1638")
    limits = "client_limits: {connections: 300, body_rate: 0, memory_share: 0.4}"
    settings = read_settings(f"{text}\n{limits}\n")
    assert settings.memory_bytes == 160 * 1024 * 1024
    assert settings.max_fds == 1638
    expected = ClientLimits(connections=300, body_rate=0.0, memory_share=0.4)
    assert settings.client_limits == expected


@pytest.mark.parametrize(
    "field",
    [
        "connections: -1",
        "connections_per_address: many",
        "in_progress: 1.5",
        "memory_share: 0.6",
        "memory_share: 0.05",
        "body_rate: -1",
        "body_grace_s: 0",
    ],
)
def test_bad_limit_on_clients_is_named(field):
    with pytest.raises(ValidationError) as caught:
        read_settings(f"{TEXT}\nclient_limits: {{{field}}}\n")
    assert caught.value.field == f"client_limits.{field.partition(':')[0]}"


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('"10.1.0.41:8625"', '"here"', "listen.frontend"),
        ("drain_ms: 2000", "drain_ms: soon", "bounds.drain_ms"),
        ("revoke_ms: 5000", "other: 1", "bounds.revoke_ms"),
        ("[7740, 7755]", "[]", "internal_ports.0"),
        ('"edge-1"', '""', "node_name"),
        ("cores: 2", "cores: -1", "limits.cores"),
        ("memory_mb: 300", "max_fds: 0", "limits.max_fds"),
    ],
)
def test_bad_setting_is_named(old, new, field):
    with pytest.raises(ValidationError) as caught:
        read_settings(TEXT.replace(old, new))
    assert caught.value.field == field


@pytest.mark.parametrize("text", ["", "[]", "a: [", "42"])
def test_file_without_the_expected_structure_is_refused(text):
    with pytest.raises(ValidationError):
        read_settings(text)


def test_rules_that_a_deployment_lacks_are_absent():
    settings = read_settings(TEXT)
    assert settings.bounds.evacuate_s is None
    assert settings.data_centres == frozenset()


def test_data_centres_and_the_bound_of_evacuations_are_read():
    """Without the names, an operator's mistake in a name cannot be told."""
    text = TEXT.replace("drain_ms: 2000", "drain_ms: 2000\n  evacuate_ms: 5000")
    settings = read_settings(text + "zones: [zone-a, zone-b, 3]")
    assert settings.bounds.evacuate_s == 5.0
    assert settings.data_centres == {"zone-a", "zone-b"}


@pytest.mark.parametrize("zones", ["3", "zone-a", "", "true"])
def test_odd_list_of_data_centres_is_ignored(zones):
    assert read_settings(TEXT + f"zones: {zones}").data_centres == frozenset()


@pytest.mark.parametrize("value", ["soon", "-1", ".nan"])
def test_bad_bound_of_evacuations_is_named(value):
    with pytest.raises(ValidationError) as caught:
        read_settings(TEXT.replace("drain_ms: 2000", f"drain_ms: 2000\n  evacuate_ms: {value}"))
    assert caught.value.field == "bounds.evacuate_ms"


def test_bounds_of_cold_replicas_are_read():
    text = TEXT.replace("drain_ms: 2000", "drain_ms: 2000\n  cold_overshoot: 1.5\n  cold_slack: 5")
    bounds = read_settings(text).bounds
    assert (bounds.cold_overshoot, bounds.cold_slack) == (1.5, 5.0)
    assert read_settings(TEXT).bounds.cold_overshoot is None
    assert read_settings(TEXT).bounds.cold_slack is None


@pytest.mark.parametrize("field", ["cold_overshoot", "cold_slack"])
def test_bad_bound_of_cold_replicas_is_named(field):
    with pytest.raises(ValidationError) as caught:
        read_settings(TEXT.replace("drain_ms: 2000", f"drain_ms: 2000\n  {field}: -1"))
    assert caught.value.field == f"bounds.{field}"
