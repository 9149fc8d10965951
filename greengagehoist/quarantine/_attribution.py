"""Decides which parts of prompts are to blame for the crashes of replicas."""

from collections.abc import Iterable
from typing import NamedTuple

from greengagehoist.quarantine._evidence import Crash, ServiceEvidence

# Replicas that end within this time may have a cause in common, such as a rack or a data centre.
COMMON_CAUSE_S = 0.25
# Crashes under different prompts that suffice, if the service answers prompts without the part.
MIN_CRASHES = 2
# Crashes that suffice if all were under the same prompt, which may have been repeated by chance.
MIN_SAME_PROMPT_CRASHES = 3
# Crashes that suffice even if no other prompt was answered.
MIN_UNCONFIRMED_CRASHES = 4
# Time after the last crash until one request may try the part again; tripled with each crash, because
# each failed trial costs a replica and the requests on it.
FIRST_TRIAL_DELAY_S = 10.0
TRIAL_DELAY_FACTOR = 3
MAX_TRIAL_DELAY_S = 300.0


class HeldPart(NamedTuple):
    """A part whose requests are refused.

    :param crashes: number of crashes that are attributed to it.
    :param trial_at: time from which one request may try it.
    :param rivals: other parts that were in the same prompts at all these crashes, so that any of them
        may be to blame.
    """

    crashes: int
    trial_at: float
    rivals: frozenset[int]

    def trial_at_with(self, parts: frozenset[int]) -> float:
        """Return the time from which a prompt with these parts may try it.

        A prompt without some of the rivals is of use at once: it tells which of them is to blame.
        """
        return self.trial_at if self.rivals <= parts else 0.0


def attribute_crashes(evidence: ServiceEvidence) -> dict[int, HeldPart]:
    """Return the parts to blame; the same evidence leads all daemons to the same parts.

    The part with most crashes comes first, and crashes that it explains do not count against others.
    """
    open_crashes = _blamable_crashes(evidence)
    held: dict[int, HeldPart] = {}
    while True:
        blamed = [part for part, found in open_crashes.items() if _is_blamed(evidence, part, found)]
        if not blamed:
            return held
        worst = max(blamed, key=lambda part: (len(open_crashes[part]), part))
        explained = open_crashes[worst]
        group = frozenset(part for part in blamed if open_crashes[part] == explained)
        last_at, count = max(crash.at for crash in explained), count_incidents(explained)
        for part in group:
            confirmed = evidence.others_answered(part, _first_at(explained))
            delay_s = trial_delay_s(count) if confirmed else FIRST_TRIAL_DELAY_S
            held[part] = HeldPart(count, last_at + delay_s, group - {part})
        open_crashes = {
            part: rest
            for part, found in open_crashes.items()
            if part not in group and (rest := found - explained)
        }


def _blamable_crashes(evidence: ServiceEvidence) -> dict[int, frozenset[Crash]]:
    """Return for each part the crashes since its last answer for which it may be to blame.

    It is not if another replica ended at the same moment without the part: what ended that one may
    have ended both.
    """
    parts_of = {crash: crash.shared_parts for crash in evidence.crashes}
    elsewhere: dict[Crash, list[frozenset[int]]] = {
        crash: [
            parts
            for other, parts in parts_of.items()
            if other is not crash and abs(other.at - crash.at) <= COMMON_CAUSE_S
        ]
        for crash in parts_of
    }
    return {
        part: frozenset(
            crash for crash in found if all(part in parts for parts in elsewhere[crash])
        )
        for part, found in evidence.open_crashes().items()
    }


def trial_delay_s(crashes: int) -> float:
    """Return the seconds after the last of some crashes until a part is tried again."""
    factor = TRIAL_DELAY_FACTOR ** max(0, crashes - MIN_CRASHES)
    return min(MAX_TRIAL_DELAY_S, FIRST_TRIAL_DELAY_S * factor)


def count_incidents(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes, counting those of each ``COMMON_CAUSE_S`` once."""
    count, first_at = 0, float("-inf")
    for at in sorted(crash.at for crash in crashes):
        if at - first_at > COMMON_CAUSE_S:
            count, first_at = count + 1, at
    return count


def _is_blamed(evidence: ServiceEvidence, part: int, crashes: frozenset[Crash]) -> bool:
    if not crashes:
        return False
    count = count_incidents(crashes)
    if count >= MIN_UNCONFIRMED_CRASHES:
        return True
    if not evidence.others_answered(part, _first_at(crashes)):
        # Nothing shows that the service works for other prompts.
        return False
    prompts = {prompt[-1] for crash in crashes for prompt in crash.prompts if part in prompt[:-1]}
    needed = MIN_CRASHES if len(prompts) > 1 else MIN_SAME_PROMPT_CRASHES
    return count >= needed


def _first_at(crashes: Iterable[Crash]) -> float:
    return min(crash.at for crash in crashes)
