"""Filter that finds the route of a request and checks its API key."""

from greengagehoist.deployment import (
    Allowed,
    DeploymentSnapshot,
    Route,
    Unconfirmed,
    UnknownKey,
    check_key,
    choose_service,
    find_route,
    is_fresh,
)
from greengagehoist.gateway import BadKey, Exchange, NoRoute, NotRun, Proceed, Reply
from greengagehoist.utils import Clock, Published, log_event

# Retry-After while this daemon has no current configuration; another daemon may have it.
NO_CONFIG_RETRY_AFTER_S = 0.3
# Deadline of requests without one.
DEFAULT_DEADLINE_S = 30.0
# One client with a long deadline makes the requests of the others look old for at most twice this.
AGE_WINDOW_S = 10.0
# Reserved before a client's deadline, so that the answer arrives in time.
ANSWER_MARGIN_S = 0.02


class AttemptAges:
    """Estimates when a client sent its first attempt.

    A client reduces the deadline of each retry by the time since its first attempt, and first
    attempts on a route mostly have the same deadline. The longest deadline of the route in the last
    ``AGE_WINDOW_S`` to twice that is therefore taken for that of a first attempt.
    """

    def __init__(self):
        self._window_start = 0.0
        self._longest: dict[str, float] = {}
        self._longest_before: dict[str, float] = {}

    def age_s(self, route: Route, deadline_s: float, now: float) -> float:
        """Return the seconds since the client's first attempt."""
        if now - self._window_start >= AGE_WINDOW_S:
            expired = now - self._window_start >= 2 * AGE_WINDOW_S
            self._longest_before = {} if expired else self._longest
            self._longest, self._window_start = {}, now
        self._longest[route.name] = max(deadline_s, self._longest.get(route.name, 0.0))
        longest = max(self._longest[route.name], self._longest_before.get(route.name, 0.0))
        return longest - deadline_s


class RouteFilter:
    """Assigns the route and tenant of a request, or denies it, by the newest configuration.

    A request with an unknown route or key is denied only if the configuration was confirmed
    recently; otherwise a newer configuration may contain the route or key.

    :param revoke_after_s: seconds after which a revoked key must no longer be accepted.
    :param deny_within_s: maximum age of a configuration by which requests may be denied, in
        seconds.
    """

    def __init__(
        self,
        snapshot: Published[DeploymentSnapshot | None],
        clock: Clock,
        revoke_after_s: float,
        deny_within_s: float,
    ):
        self.snapshot = snapshot
        self.clock = clock
        self.revoke_after_s = revoke_after_s
        self.deny_within_s = deny_within_s
        self._ages = AttemptAges()

    async def __call__(self, exchange: Exchange, proceed: Proceed) -> Reply:
        """Deny or refuse the request, or forward it with its route, tenant and time limits."""
        snapshot, now, req = self.snapshot.value, self.clock.monotonic(), exchange.req
        if snapshot is None:
            return NotRun("no configuration received yet", NO_CONFIG_RETRY_AFTER_S)
        version, age = snapshot.deployment.version, now - snapshot.confirmed_at
        route = find_route(snapshot.deployment, req.host, req.path)
        if route is None:
            if not is_fresh(snapshot, now, self.deny_within_s):
                return NotRun(
                    f"no route in a configuration {age:.2f} s old", NO_CONFIG_RETRY_AFTER_S
                )
            _log_denied(req.request_id, "no_route", version, age)
            return NoRoute()
        match check_key(snapshot, req.api_key or "", route.public, now, self.revoke_after_s):
            case Unconfirmed(age_s):
                return NotRun(f"keys not confirmed for {age_s:.2f} s", NO_CONFIG_RETRY_AFTER_S)
            case UnknownKey():
                if not is_fresh(snapshot, now, self.deny_within_s):
                    return NotRun(
                        f"unknown key in a configuration {age:.2f} s old", NO_CONFIG_RETRY_AFTER_S
                    )
                _log_denied(req.request_id, "unknown_key", version, age)
                return BadKey()
            case Allowed(tenant):
                deadline_s = DEFAULT_DEADLINE_S if req.deadline_s is None else req.deadline_s
                deadline = exchange.arrived + deadline_s
                first_sent = exchange.arrived - self._ages.age_s(route, deadline_s, now)
                return await proceed(
                    exchange._replace(
                        snapshot=snapshot,
                        route=route,
                        service=choose_service(route, req.request_id),
                        tenant=tenant,
                        due=first_sent + route.target_latency_s,
                        answer_deadline=min(
                            exchange.arrived + route.timeout_s, deadline - ANSWER_MARGIN_S
                        ),
                    )
                )


def _log_denied(request_id: str, reason: str, version: int, age: float) -> None:
    log_event(
        "request_denied",
        request=request_id,
        reason=reason,
        version=version,
        age_ms=round(age * 1000),
    )
