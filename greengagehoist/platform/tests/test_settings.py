"""Guards against settings that are only partly decoded or decoded to wrong values."""

import pytest

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


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('"10.1.0.41:8625"', '"here"', "listen.frontend"),
        ("drain_ms: 2000", "drain_ms: soon", "bounds.drain_ms"),
        ("revoke_ms: 5000", "other: 1", "bounds.revoke_ms"),
        ("[7740, 7755]", "[]", "internal_ports.0"),
        ('"edge-1"', '""', "node_name"),
        ("cores: 2", "cores: -1", "limits.cores"),
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
