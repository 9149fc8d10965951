"""Who gets the capacity when there is too little, and when refused clients return."""

from greengagehoist.overload._decision import (
    Admit,
    Decision,
    Need,
    PoolWait,
    Refuse,
    decide,
    longest_retry_after_s,
)
from greengagehoist.overload._guarantees import Guarantees, Origin
from greengagehoist.overload._pool import (
    GUARANTEED_RANK,
    AdmissionCounts,
    Asked,
    PoolAdmission,
    Standing,
    sum_counts,
)
from greengagehoist.overload._returns import ExpectedReturns, ReturnKey
from greengagehoist.overload._services import ServiceRoom
from greengagehoist.overload._sizes import Sizes

__all__ = [
    "GUARANTEED_RANK",
    "Admit",
    "AdmissionCounts",
    "Asked",
    "Decision",
    "ExpectedReturns",
    "Guarantees",
    "Need",
    "Origin",
    "PoolAdmission",
    "PoolWait",
    "Refuse",
    "ReturnKey",
    "ServiceRoom",
    "Sizes",
    "Standing",
    "decide",
    "longest_retry_after_s",
    "sum_counts",
]
