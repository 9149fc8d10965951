"""Orders to engines: which orders to send, and the lease that allows sending them."""

from greengagehoist.orders._lease import (
    LEASE_TTL_S,
    MAX_SEND_S,
    LeaseRow,
    OrderLease,
    Wait,
    Write,
    covers_send,
    decide_lease,
)
from greengagehoist.orders._orders import (
    DesiredState,
    EngineReport,
    LoadAdapter,
    LoadModel,
    Order,
    Restart,
    SetRole,
    choose_orders,
    is_idempotent,
)

__all__ = [
    "EngineReport",
    "LEASE_TTL_S",
    "MAX_SEND_S",
    "LeaseRow",
    "LoadAdapter",
    "LoadModel",
    "Order",
    "OrderLease",
    "Restart",
    "SetRole",
    "Wait",
    "DesiredState",
    "Write",
    "choose_orders",
    "covers_send",
    "decide_lease",
    "is_idempotent",
]
