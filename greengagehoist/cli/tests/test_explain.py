"""Guards against a timeline of a request that is incomplete or out of order."""

import pytest
from click.testing import CliRunner

from greengagehoist.cli import main

LINES = """
ts=T3 level=INFO event=request_ended request=r1 outcome=unknown status=502 vm=b
ts=T2 level=WARNING event=replica_avoided replica=i-1 reason=unreachable vm=a
not a log line
ts=T1 level=INFO event=request_sent request=r1 replica=i-1 left_ms=900 vm=b
ts=T1 level=INFO event=request_sent request=r2 replica=i-1 vm=b
ts=T9 level=INFO event=replica_gone replica=i-1 service=s vm=a
ts=T3 level=WARNING event=send_failed request=r1 replica=i-1 end=Lost reason="two words" vm=b
""".lstrip()


@pytest.fixture
def explain():
    def run(request):
        return CliRunner().invoke(main, ["explain", request], input=LINES)

    return run


def test_timeline_has_the_events_of_the_request_in_order(explain):
    result = explain("r1")
    assert result.exit_code == 0
    events = [line.split("  ")[2] for line in result.output.splitlines() if line[0] == "T"]
    assert events == ["request_sent", "request_ended", "send_failed"]
    assert "reason=two words" in result.output


def test_timeline_shows_events_of_its_replicas_in_the_same_period(explain):
    output = explain("r1").output
    assert "replica_avoided" in output
    assert "replica_gone" not in output


def test_unknown_request_is_named(explain):
    result = explain("r7")
    assert result.exit_code == 2
    assert "r7" in result.output
