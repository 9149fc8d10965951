"""Gauges of the distribution of the configuration and the lists."""

from greengagehoist.gateway.controllers._deployment import DeploymentController
from greengagehoist.gateway.controllers._relay import RelayController
from greengagehoist.platform_client import PlatformController

TOPICS = ("deployment", "replicas", "members")


def distribution_state(
    relay: RelayController, deployments: DeploymentController, platform: PlatformController
) -> dict[str, float]:
    """Return the gauges by name; all but ``transfers_running`` count since the start."""
    counts = deployments.own_reads.counts
    state = {
        "transfers_running": relay.transfers,
        "configuration_reads_conditional": counts.conditional,
        "configuration_reads_whole": counts.whole,
        "platform_bytes_received": platform.received_bytes,
    }
    for topic in TOPICS:
        state[f"{topic}_bytes_sent"] = relay.offers.sent[topic]
        state[f"{topic}_bytes_received"] = relay.received[topic]
    return state
