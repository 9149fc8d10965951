"""Client of the platform's table, object store, VM list and weight store."""

from greengagehoist.platform_client._controller import PlatformController
from greengagehoist.platform_client._types import (
    FetchWeights,
    GetObject,
    ListObjects,
    ListVms,
    PutObject,
    ReadRange,
    ReadRow,
    Refused,
    Row,
    Rows,
    Vm,
    WriteRow,
    Written,
)

__all__ = [
    "FetchWeights",
    "GetObject",
    "ListObjects",
    "ListVms",
    "PlatformController",
    "PutObject",
    "ReadRange",
    "ReadRow",
    "Refused",
    "Row",
    "Rows",
    "Vm",
    "WriteRow",
    "Written",
]
