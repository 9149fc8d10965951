"""Orders to engines and what an engine still needs to be in the wanted state."""

from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Have the model loaded."""

    model: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Have the adapter loaded."""

    adapter: str


@dataclass(frozen=True, slots=True)
class SetRole:
    """Serve in the stated role."""

    role: str


@dataclass(frozen=True, slots=True)
class Restart:
    """Restart the engine, which ends what it runs each time that the order arrives."""


Order = LoadModel | LoadAdapter | SetRole | Restart


class Wanted(NamedTuple):
    """State that an engine should have.

    :param role: role to serve in, empty if any.
    :param restart_before: the engine is restarted if its incarnation is lower.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    restart_before: int = 0


class EngineReport(NamedTuple):
    """State that an engine reports.

    :param fence: highest fencing number that the engine has seen.
    :param checks_fence: whether the engine rejects orders with a lower number than that.
    """

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    incarnation: int
    fence: int
    checks_fence: bool


def is_idempotent(order: Order) -> bool:
    """Return whether an order that arrives twice, or late, has the effect of one."""
    match order:
        case LoadModel() | LoadAdapter() | SetRole():
            return True
        case Restart():
            return False


def choose_orders(wanted: Wanted, report: EngineReport) -> tuple[Order, ...]:
    """Return the orders that bring an engine from the reported to the wanted state.

    Orders that are not idempotent go only to engines that check the fencing number.
    """
    orders: list[Order] = []
    if report.incarnation < wanted.restart_before:
        orders.append(Restart())
    orders += [LoadModel(model) for model in wanted.models if model not in report.models]
    orders += [LoadAdapter(name) for name in wanted.adapters if name not in report.adapters]
    if wanted.role and wanted.role != report.role:
        orders.append(SetRole(wanted.role))
    return tuple(order for order in orders if report.checks_fence or is_idempotent(order))
