"""Plan limits shared between daemons."""

from greengagehoist.quota._balances import Balances, Key
from greengagehoist.quota._coordinator import (
    AskAmount,
    AskUnit,
    Coordinator,
    Decide,
    Drawn,
    GiveAmount,
    LendUnit,
    Message,
    Output,
    ReturnUnit,
    Send,
    Wake,
)
from greengagehoist.quota._leases import LeaseBook, Seen, SlotRow, SlotWrite
from greengagehoist.quota._ledger import (
    Draw,
    Ledger,
    Refusal,
    Request,
    Reservation,
    Shortage,
    UnitHold,
)
from greengagehoist.quota._slots import (
    CLOCK_MARGIN_S,
    LEASE_MARGIN_S,
    SLOTS,
    Instant,
    apportion,
    fair_counts,
    is_standing,
    order_slots,
)
from greengagehoist.quota._transfers import NoStock, order_peers, size_transfer
from greengagehoist.quota._units import Units

__all__ = [
    "AskAmount",
    "AskUnit",
    "Coordinator",
    "Decide",
    "Drawn",
    "GiveAmount",
    "LendUnit",
    "Message",
    "Output",
    "ReturnUnit",
    "Seen",
    "Send",
    "Wake",
    "Balances",
    "CLOCK_MARGIN_S",
    "Draw",
    "Instant",
    "Key",
    "LEASE_MARGIN_S",
    "LeaseBook",
    "Ledger",
    "NoStock",
    "Refusal",
    "Request",
    "Reservation",
    "SLOTS",
    "Shortage",
    "SlotRow",
    "SlotWrite",
    "UnitHold",
    "Units",
    "apportion",
    "fair_counts",
    "is_standing",
    "order_peers",
    "order_slots",
    "size_transfer",
]
