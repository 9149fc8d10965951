"""Orders to engines, and the selection of those that lead to the desired state."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load the model unless it is loaded."""

    model: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load the adapter unless it is loaded."""

    adapter: str


@dataclass(frozen=True, slots=True)
class SetRole:
    """Switch to the given role."""

    role: str


@dataclass(frozen=True, slots=True)
class Restart:
    """Restart the engine, which aborts its running requests each time the order is received."""


Order = LoadModel | LoadAdapter | SetRole | Restart


class DesiredState(NamedTuple):
    """Desired state of an engine.

    :param role: role to serve in, empty if any role is accepted.
    :param restart_before: the engine is restarted if its incarnation is lower than this.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    restart_before: int = 0


class EngineReport(NamedTuple):
    """State reported by an engine.

    :param fence: highest fencing number that the engine has seen.
    :param checks_fence: whether the engine rejects orders with a lower fencing number.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    incarnation: int
    fence: int
    checks_fence: bool


def is_idempotent(order: Order) -> bool:
    """Return whether an order that is repeated or delayed has the same effect as one sent once."""
    match order:
        case LoadModel() | LoadAdapter() | SetRole():
            return True
        case Restart():
            return False


def choose_orders(desired: DesiredState, report: EngineReport) -> tuple[Order, ...]:
    """Return the orders that bring an engine from the reported to the desired state.

    Orders that are not idempotent are sent only to engines that check the fencing number.
    """
    orders: list[Order] = []
    if report.incarnation < desired.restart_before:
        orders.append(Restart())
    orders += [LoadModel(model) for model in desired.models if model not in report.models]
    orders += [LoadAdapter(name) for name in desired.adapters if name not in report.adapters]
    if desired.role and desired.role != report.role:
        orders.append(SetRole(desired.role))
    return tuple(order for order in orders if report.checks_fence or is_idempotent(order))
