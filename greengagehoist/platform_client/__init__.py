"""Client of the platform's table, object store, VM list and weight store."""

from greengagehoist.platform_client._breaker import full_jitter
from greengagehoist.platform_client._controller import (
    CallCodec,
    DeploymentCodec,
    PlatformController,
)
from greengagehoist.platform_client._types import (
    DeleteRow,
    DeploymentRead,
    FetchWeights,
    GetObject,
    ListObjects,
    ListReplicas,
    ListVms,
    PutObject,
    ReadDeployment,
    ReadRange,
    ReadRow,
    Refused,
    ReplicaPage,
    Revision,
    Row,
    Rows,
    SetVmCount,
    Vm,
    WriteRow,
    Written,
)
from greengagehoist.platform_client._wire import HttpCall

__all__ = [
    "CallCodec",
    "DeploymentCodec",
    "DeleteRow",
    "DeploymentRead",
    "FetchWeights",
    "GetObject",
    "HttpCall",
    "ListObjects",
    "ListReplicas",
    "ListVms",
    "PlatformController",
    "PutObject",
    "ReadDeployment",
    "ReadRange",
    "ReadRow",
    "Refused",
    "ReplicaPage",
    "Revision",
    "Row",
    "Rows",
    "SetVmCount",
    "Vm",
    "WriteRow",
    "Written",
    "full_jitter",
]
