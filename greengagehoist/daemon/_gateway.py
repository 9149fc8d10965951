"""Assembly of the gateway daemon: controllers, filter chain and listeners."""

import asyncio
import gc
import random

from greengagehoist.base import compose
from greengagehoist.deployment import is_fresh
from greengagehoist.gateway import Bounds, GatewaySettings, WireFormat, divide_descriptors
from greengagehoist.gateway.controllers import (
    MEMBER_POLL_PERIOD_S,
    DeploymentController,
    EvacuationController,
    Leave,
    LoadViewController,
    MemberController,
    PlacementController,
    PoolController,
    QuarantineController,
    ReachController,
    RelayController,
    ReplicaController,
    SendLimitController,
    SetColdRule,
    SetReadPeriod,
    SharedReads,
    TimeRanking,
    distribution_state,
    topology_of,
)
from greengagehoist.gateway.filters import (
    FirstEventLatency,
    QuarantineFilter,
    QuarantineGate,
    ReplicaFilter,
    RetryBudgets,
    RouteFilter,
    SendLimitGate,
    ShutdownFilter,
    ShutdownGate,
    StageFilter,
)
from greengagehoist.gateway.front import ClientSettings, GatewayFront, ProbeFront
from greengagehoist.membership import Member, choose_hub_links
from greengagehoist.memory import SMALL_FRACTION, MemoryController
from greengagehoist.peers import Broadcast, Goodbye, PeerController, UpdateHeartbeat
from greengagehoist.platform_client import DeploymentCodec, PlatformController
from greengagehoist.replicas import ColdRule
from greengagehoist.utils import Clock, Measurements, check_address, log_event

# Time for which the load balancer still sends connections after readiness fails: two failed checks,
# one a second, and the duration of the second check.
LOAD_BALANCER_DELAY_S = 2.6
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_S = 0.4
STOP_POLL_PERIOD_S = 0.1
# The first bytes of a request follow its connection within this time.
REQUEST_ARRIVAL_S = 0.5
# A silent peer has missed three heartbeats when it is declared dead.
PEER_HEARTBEAT_PERIOD_S = 0.4
PEER_DEAD_AFTER_S = 1.5
# Requests are served without stage batching or late until the links of a data centre that was cut off
# are back.
PEER_MAX_BACKOFF_S = 1.0
# The circuit breaker probes often, because API keys expire while the platform cannot be read, and
# replicas that left since are known only after the first read.
MAX_BREAKER_OPEN_S = 0.3
# Readiness fails when the configuration is older than this fraction of the revocation bound, soon
# before requests with API keys are refused.
READY_FRACTION = 0.6
# Maximum age of a configuration by which requests may be denied, as a fraction of the bound for
# applying a configuration.
DENY_FRACTION = 0.7
METRICS_PATH = b"/metrics"
# Read period of the platform, as a fraction of the smaller bound of applying configurations and
# draining replicas; the rest is left for a slow or repeated read.
READ_PERIOD_FRACTION = 0.6
# The same in every deployment: daemons share the platform's network, which provides no secret.
PEER_CREDENTIAL = "greengagehoist-gateway-peers"


class GatewayDaemon:
    """Gateway daemon: serves clients and calls replicas of a deployment.

    :param call_codec: encoding of the platform's calls.
    :param wire: encoding of the calls of clients and replicas.
    :param ready_path: path of the load balancer's readiness check.
    :param metrics_port: port of the metrics on the readiness host, 0 for any free port.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        call_codec: DeploymentCodec,
        wire: WireFormat,
        ready_path: bytes,
        metrics_port: int,
        clock: Clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.clock = clock
        self.metrics_port = metrics_port
        bounds = settings.bounds
        self.platform = PlatformController(
            settings.platform, clock, rng, call_codec, MAX_BREAKER_OPEN_S
        )
        incarnation = int(clock.now().timestamp() * 1000)
        own = Member(
            settings.vm, settings.data_centre, settings.peers, incarnation, settings.capacity
        )
        sockets = divide_descriptors(settings.max_fds, settings.client_limits)
        self.peers = PeerController(
            own,
            (),
            PEER_CREDENTIAL,
            clock,
            rng,
            dead_after=PEER_DEAD_AFTER_S,
            heartbeat_period=PEER_HEARTBEAT_PERIOD_S,
            choose=choose_hub_links,
            max_backoff=PEER_MAX_BACKOFF_S,
            max_handshakes=sockets.peer_handshakes,
        )
        topology = self.topology = topology_of(own)
        self.budgets = RetryBudgets(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, topology.count
        )
        self.reach = ReachController(self.peers, topology.links, clock, settings.data_centre)
        self.relay = RelayController(
            self.peers, own, topology, self.reach.reach, clock, self.platform.arriving
        )

        def reads(topic: str, period_s: float) -> SharedReads:
            return SharedReads(self.relay, topic, settings.vm, topology, clock, rng, period_s)

        self.members = MemberController(
            self.platform,
            self.peers,
            own,
            topology,
            reads("members", MEMBER_POLL_PERIOD_S),
            clock,
            rng,
        )
        period_s = read_period(bounds)
        self.deployments = DeploymentController(
            self.platform,
            self.peers,
            reads("deployment", period_s),
            call_codec.read_deployment,
            clock,
        )
        snapshot = self.deployments.snapshot
        self.replicas = ReplicaController(
            self.platform,
            reads("replicas", period_s),
            clock,
            failed_at=self.platform.failed_at,
        )
        self.evacuated = self.deployments.evacuated
        self.limits = SendLimitController(
            self.peers,
            own,
            topology,
            self.reach.reach,
            clock,
            self.deployments.snapshot,
            self.evacuated,
        )
        self.loads = LoadViewController(
            self.peers, own, topology, self.reach.reach, self.replicas.table, clock
        )
        self.placement = PlacementController(
            self.replicas.table,
            self.reach.reach,
            self.limits.view,
            clock,
            settings.data_centre,
            TimeRanking(snapshot, topology.shared, self.loads.view, settings.data_centre, rng),
            (self.loads,),
            self.evacuated,
            self.limits.cold,
        )
        self.loads.followers = (self.placement,)
        self.pools = PoolController(
            self.deployments.snapshot,
            self.replicas.table,
            self.peers,
            wire,
            clock,
            settings.vm,
            topology,
            self.limits,
            self.limits.view,
            self.budgets.pool_budget,
            self.evacuated,
            settings.data_centre,
        )
        self.evacuations = EvacuationController(
            self.evacuated, self.replicas.table, settings.data_centres, clock
        )
        self.quarantine = QuarantineController(self.peers, own, topology, self.reach.reach, clock)
        gate = QuarantineGate(self.quarantine, self.quarantine.view, clock)
        self.shutdown = ShutdownGate(clock)
        limits, memory_bytes = settings.client_limits, settings.memory_bytes
        share = limits.memory_share - SMALL_FRACTION
        self.memory = MemoryController(int(share * memory_bytes), clock)
        self.platform.followers = (self.members,)
        self.replicas.followers = (self.limits, self.pools)
        self.reach.followers = (self.pools, self.limits, self.loads)
        self.route_filter = RouteFilter(snapshot, clock, 0.0, 0.0)
        self.apply_settings(settings)
        first_event_latency = FirstEventLatency()
        chain = compose(
            [
                self.route_filter,
                ShutdownFilter(self.shutdown),
                QuarantineFilter(gate),
                StageFilter(
                    self.pools,
                    self.placement,
                    self.replicas.table,
                    first_event_latency,
                    self.shutdown,
                    clock,
                ),
                ReplicaFilter(
                    self.placement,
                    self.pools,
                    gate,
                    SendLimitGate(
                        self.limits, self.limits.view, self.placement, clock, self.limits.cold
                    ),
                    self.shutdown,
                    self.budgets,
                    first_event_latency,
                    wire,
                    clock,
                    self.memory,
                    self.evacuated,
                ),
            ]
        )
        self.measurements = Measurements()
        self.front = GatewayFront(
            chain,
            wire,
            snapshot,
            clock,
            self.measurements.observe_request,
            self.measurements.observe_refusal,
            self.memory,
            ClientSettings(
                sockets.clients,
                limits.connections_per_address,
                sockets.in_progress,
                int(SMALL_FRACTION * memory_bytes),
                limits.body_rate,
                limits.body_grace_s,
            ),
        )
        answers = {ready_path: self._readiness, METRICS_PATH: self._metrics}
        self.probes = ProbeFront(answers, clock, sockets.probes)
        self.address = settings.clients
        self._stopping = False
        self._was_ready = False
        self._tasks: list[asyncio.Task] = []

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed bounds; changed addresses take effect at the next start."""
        bounds = settings.bounds
        self.settings = settings
        self.route_filter.revoke_after_s = bounds.revoke_s
        self.route_filter.deny_within_s = DENY_FRACTION * bounds.apply_s
        self.evacuations.data_centres = settings.data_centres
        self.limits.tell(SetColdRule(cold_rule(bounds)))
        self.deployments.tell(SetReadPeriod(read_period(bounds)))
        self.replicas.tell(SetReadPeriod(read_period(bounds)))
        self.budgets.set_bounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)

    async def start(self) -> None:
        """Start the controllers and the listeners.

        :raises OSError: if an address is not available.
        """
        loop = asyncio.get_running_loop()
        log_event("listening", interface="peers", address=self.peers.listen())
        # The operating system chooses the port if the settings give port 0.
        self.members.own = self.peers.own
        controllers = (
            self.platform,
            self.deployments,
            self.replicas,
            self.peers,
            self.members,
            self.reach,
            self.relay,
            self.loads,
            self.placement,
            self.limits,
            self.pools,
            self.quarantine,
            self.memory,
            self.evacuations,
        )
        self._tasks = [loop.create_task(item.run()) for item in controllers]
        self.peers.tell(UpdateHeartbeat(ready=True))
        host, port = check_address("readiness", self.settings.readiness)
        log_event("listening", interface="readiness", address=await self.probes.listen(host, port))
        address = await self.probes.listen(host, self.metrics_port)
        log_event("listening", interface="metrics", address=address)
        host, port = check_address("clients", self.settings.clients)
        self.address = await self.front.listen(host, port)
        log_event("listening", interface="clients", address=self.address)
        # Objects created at startup live as long as the process; later collections skip them.
        gc.collect()
        gc.freeze()

    def _readiness(self) -> tuple[int, bytes]:
        reason = self.reason_not_ready()
        if (not reason) != self._was_ready:
            self._was_ready = not reason
            log_event("readiness_changed", ready=not reason, reason=reason)
        return (503, reason.encode()) if reason else (200, b"ready\n")

    def reason_not_ready(self) -> str:
        """Return why the readiness check fails, empty if it succeeds."""
        snapshot, now = self.deployments.snapshot.value, self.clock.monotonic()
        if self._stopping:
            return "stopping"
        if snapshot is None:
            return "no configuration"
        if self.replicas.table.value.read_at is None:
            return "no list of replicas"
        if not is_fresh(snapshot, now, READY_FRACTION * self.settings.bounds.revoke_s):
            return f"configuration is {now - snapshot.confirmed_at:.1f} s old"
        return ""

    def _metrics(self) -> tuple[int, bytes]:
        snapshot, now = self.deployments.snapshot.value, self.clock.monotonic()
        quarantine, admissions = self.quarantine.view.value, self.pools.admissions.value
        self.measurements.set_state(
            in_flight=self.front.in_flight,
            connections=self.front.connections,
            daemons=self.topology.count.value,
            configuration_version=snapshot.deployment.version if snapshot else 0,
            configuration_age_seconds=now - snapshot.confirmed_at if snapshot else -1,
            replicas=len(self.replicas.table.value.replicas),
            cold_replicas=sum(item.has_begun for item in self.limits.cold.value.values()),
            permits_refused=self.limits.owned.refusals,
            evacuated_data_centres=len(self.evacuations.known.value),
            quarantined_parts=sum(len(item.held) for item in quarantine.services.values()),
            crashes_attributed=quarantine.crashes,
            load_view_age_seconds=self.loads.view.value.age_s(now),
            load_messages=self.loads.messages,
            placed_by_time=self.placement.choices,
            placed_elsewhere=self.placement.choices_elsewhere,
            small_bodies_bytes=self.front.small_bytes,
            evicted_connections=self.memory.evicted,
            probe_connections_closed=self.probes.refused,
            peer_handshakes_closed=self.peers.handshakes.closed,
            **{f"{k}_bytes": v for k, v in self.memory.held_by_purpose().items()},
            **distribution_state(self.relay, self.deployments, self.platform),
            pool_requests_refused=admissions.refused,
            pool_requests_guaranteed=admissions.guaranteed,
            pool_returns_promised=admissions.promised,
            pool_returns_kept=admissions.kept,
            pool_returns_expected=admissions.expected,
        )
        return 200, self.measurements.text()

    async def stop(self) -> None:
        """Stop gracefully: let requests in flight finish within the grace period.

        New requests are served as long as their answers are expected to end in time, and those that
        arrive after the load balancer has reacted only if their answers are bounded: it may send
        requests until the process ends.
        """
        started_at = self.clock.monotonic()
        finish_by = started_at + self.settings.bounds.grace_s - EXIT_MARGIN_S
        self._stopping = True
        log_event("stopping", in_flight=self.front.in_flight, connections=self.front.connections)
        self.front.begin_stop()
        self.shutdown.begin_stop(finish_by, started_at + LOAD_BALANCER_DELAY_S)
        self.pools.tell(Leave())
        self.peers.tell(UpdateHeartbeat(ready=False))
        self.peers.tell(Broadcast(Goodbye("stopping")))
        while (left_s := finish_by - self.clock.monotonic()) > 0:
            await self.clock.sleep(min(STOP_POLL_PERIOD_S, left_s))
            if self.clock.monotonic() - started_at < LOAD_BALANCER_DELAY_S:
                continue
            if not self.front.close_idle(REQUEST_ARRIVAL_S) and not self.front.in_flight:
                break
        log_event("stopped", in_flight=self.front.in_flight)
        # Requests that are still to arrive are refused.
        now = self.clock.monotonic()
        self.shutdown.begin_stop(now, now)
        await self.front.end_requests()
        await self.abort()

    async def abort(self) -> None:
        """Stop immediately and close all connections."""
        await self.front.stop()
        await self.probes.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def cold_rule(bounds: Bounds) -> ColdRule | None:
    """Return the bounds of cold replicas, None if the settings lack one of them."""
    if bounds.cold_overshoot is None or bounds.cold_slack is None:
        return None
    return ColdRule(bounds.cold_overshoot, bounds.cold_slack)


def read_period(bounds: Bounds) -> float:
    """Return the period of platform reads, in seconds, that satisfies the bounds."""
    return READ_PERIOD_FRACTION * min(bounds.apply_s, bounds.drain_s)
