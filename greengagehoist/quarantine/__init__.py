"""Quarantine of prompt parts that end the replicas which begin to answer them."""

from greengagehoist.quarantine._attribution import HeldPart, attribute_crashes, trial_delay_s
from greengagehoist.quarantine._evidence import (
    SAME_REPORTED_CRASH_S,
    Crash,
    ServiceEvidence,
)
from greengagehoist.quarantine._keys import part_key, prompt_keys, request_key

__all__ = [
    "Crash",
    "HeldPart",
    "SAME_REPORTED_CRASH_S",
    "ServiceEvidence",
    "attribute_crashes",
    "part_key",
    "prompt_keys",
    "request_key",
    "trial_delay_s",
]
