"""Settings of a gateway daemon."""

from typing import NamedTuple

# Memory of a VM whose settings do not name it.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024


class Bounds(NamedTuple):
    """Times in seconds and ratios that the operators of a deployment guarantee.

    :param drain_s: time after which a leaving replica must not receive new requests.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param apply_s: time after which an acknowledged configuration must be in force.
    :param revoke_s: time after which a revoked key must not be accepted, even by a daemon that is
        disconnected from the platform.
    :param retry_ratio: retries for each request to a service.
    :param retry_slack: retries in each window in addition to that ratio, over all daemons.
    :param retry_window_s: length of that window.
    :param evacuate_s: time after which replicas of an evacuated data centre must get no work, None
        for no rule.
    :param cold_overshoot: most requests for a cold replica in a second, as a multiple of its service's
        allowance; None for no rule.
    :param cold_slack: requests in addition to that; None for no rule.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.2
    retry_slack: float = 54.0
    retry_window_s: float = 10.0
    evacuate_s: float | None = None
    cold_overshoot: float | None = None
    cold_slack: float | None = None


class GatewaySettings(NamedTuple):
    """Settings of one daemon; addresses are ``ip:port``.

    :param vm: name of this VM.
    :param clients: address of the clients' listener.
    :param readiness: address of the load balancer's readiness check.
    :param peers: address of the listener for other daemons.
    :param platform: address of the platform.
    :param capacity: relative capacity of this VM: its cores, limited by its network link.
    :param memory_bytes: memory at which the process is ended.
    :param data_centres: names of all data centres of the deployment, empty if unknown.
    """

    vm: str
    data_centre: str
    clients: str
    readiness: str
    peers: str
    platform: str
    capacity: float
    bounds: Bounds
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    data_centres: frozenset[str] = frozenset()
