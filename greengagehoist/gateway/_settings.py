"""Settings of a gateway daemon."""

from typing import NamedTuple

# Memory of a VM whose settings do not name it.
DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024
# Descriptors of a VM whose settings do not name them.
DEFAULT_MAX_FDS = 1024
# Descriptors that are left for files.
FILE_DESCRIPTORS = 200
MIN_SOCKETS = 64
MAX_PROBE_CONNECTIONS = 32
MAX_PEER_HANDSHAKES = 128


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


class ClientLimits(NamedTuple):
    """Limits on what clients may take together; 0 derives a number from the descriptors.

    :param connections: open connections of clients.
    :param connections_per_address: open connections from one address, 0 for no limit of their own. A
        load balancer may bring all clients from a few addresses.
    :param in_progress: requests that are served at the same time.
    :param memory_share: part of the process's memory that bodies and answers may take.
    :param body_rate: bytes a second that the body of a request must have on average.
    :param body_grace_s: time after which that rate is required.
    """

    connections: int = 0
    connections_per_address: int = 0
    in_progress: int = 0
    memory_share: float = 0.3
    body_rate: float = 64.0
    body_grace_s: float = 30.0


class SocketLimits(NamedTuple):
    """Connections of each kind. The descriptors that are left serve links to peers and the store.

    :param clients: connections of clients.
    :param in_progress: requests in progress, each of which may take a connection to a replica.
    :param probes: connections to the readiness and the metrics port together.
    :param peer_handshakes: connections to the peers' port that have not said who they are.
    """

    clients: int
    in_progress: int
    probes: int
    peer_handshakes: int


def divide_descriptors(max_fds: int, limits: ClientLimits) -> SocketLimits:
    """Return how the descriptors of a process are divided."""
    sockets = max(MIN_SOCKETS, max_fds - FILE_DESCRIPTORS)
    return SocketLimits(
        min(limits.connections or sockets, sockets // 2),
        min(limits.in_progress or sockets, sockets // 4),
        min(MAX_PROBE_CONNECTIONS, sockets // 16),
        min(MAX_PEER_HANDSHAKES, sockets // 16),
    )


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
    :param max_fds: descriptors that the process may open.
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
    max_fds: int = DEFAULT_MAX_FDS
    client_limits: ClientLimits = ClientLimits()
