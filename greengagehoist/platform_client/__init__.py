"""Client of the platform's table, object store, VM list and weight store."""

from greengagehoist.platform_client._breaker import full_jitter
from greengagehoist.platform_client._controller import PlatformController
from greengagehoist.platform_client._types import (
    FetchWeights,
    GetObject,
    GetStoreState,
    ListObjects,
    ListVms,
    PutObject,
    ReadRange,
    ReadRow,
    Refused,
    Row,
    Rows,
    SetShare,
    StoreState,
    Vm,
    WriteRow,
    Written,
)

__all__ = [
    "FetchWeights",
    "GetObject",
    "GetStoreState",
    "ListObjects",
    "ListVms",
    "PlatformController",
    "PutObject",
    "ReadRange",
    "ReadRow",
    "Refused",
    "Row",
    "Rows",
    "SetShare",
    "StoreState",
    "Vm",
    "WriteRow",
    "Written",
    "full_jitter",
]
