"""Evidence of one service: replicas that ended, and complete answers."""

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

# Evidence that is older is forgotten: replicas may have been replaced by a sound version.
MAX_AGE_S = 900.0
# Bounds of memory and messages; clients choose number and length of the parts of prompts.
MAX_CRASHES = 32
MAX_PROMPTS = 128
MAX_KEYS = 4096
# A daemon notices one crash at several requests within this time. A report of another daemon may have
# waited longer, while this daemon was suspended for example, and then seems to be of a later crash.
SAME_CRASH_S = 0.25
SAME_REPORTED_CRASH_S = 5.0
NEVER = float("-inf")


class Crash(NamedTuple):
    """The end of a replica, with the requests that it had not begun to answer.

    :param born_ms: start of its incarnation in Unix milliseconds, 0 if unknown.
    :param at: time of its end in seconds on the own clock.
    :param prompts: keys of each of these requests: the shared parts of its prompt, in order, the
        request itself, and what tells it from other requests, which is not to blame. Empty if it
        had begun to answer all.
    """

    replica_id: str
    born_ms: int
    at: float
    prompts: frozenset[tuple[int, ...]]

    @property
    def shared_parts(self) -> frozenset[int]:
        """Keys of all parts that other requests may share, and of requests that may come again."""
        return frozenset(key for prompt in self.prompts for key in prompt[:-1])


class ServiceEvidence:
    """What speaks for and against requests, and parts of prompts, under way when a replica ended.

    A complete answer clears its parts of all crashes before. Daemons exchange their evidence; the
    order in which it arrives does not matter.
    """

    def __init__(self):
        self._crashes: tuple[Crash, ...] = ()
        self._answered_at: dict[int, float] = {}
        self._others_answered_at: dict[int, float] = {}

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """The known crashes, by time."""
        return self._crashes

    @property
    def parts(self) -> frozenset[int]:
        """Keys of all shared parts of the known crashes."""
        return frozenset(part for crash in self._crashes for part in crash.shared_parts)

    def record_crash(self, crash: Crash, same_within_s: float = SAME_CRASH_S) -> Crash | None:
        """Add a crash, or what another daemon knows of it.

        :param same_within_s: seconds within which reports of one incarnation are of the same crash;
            a list of replicas that lags may give two incarnations the same start.
        :returns: the crash with all that is known of it, None if nothing is new.
        """
        crash = crash._replace(prompts=_limit(crash.prompts))
        known = next(
            (
                item
                for item in reversed(self._crashes)
                if item[:2] == crash[:2] and abs(item.at - crash.at) < same_within_s
            ),
            None,
        )
        if known is not None:
            prompts = _limit(known.prompts | crash.prompts)
            crash = known._replace(at=min(known.at, crash.at), prompts=prompts)
            if crash.prompts == known.prompts:
                return None
        others = [item for item in self._crashes if item is not known]
        self._crashes = tuple(sorted([*others, crash], key=lambda item: item.at)[-MAX_CRASHES:])
        return crash

    def record_answer(self, parts: frozenset[int], at: float) -> bool:
        """Add a complete answer to a prompt with these shared parts; return whether it is news."""
        news = False
        for part, crashes in self.open_crashes().items():
            if part in parts:
                if at > crashes[0].at:
                    self._answered_at[part] = max(at, self._answered_at.get(part, NEVER))
                    news = True
            elif any(crash.at < at for crash in self._unanswered(part, crashes)):
                self._others_answered_at[part] = at
                news = True
        return news

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        self._crashes = tuple(item for item in self._crashes if now - item.at < MAX_AGE_S)
        for answers in (self._answered_at, self._others_answered_at):
            for part in answers.keys() - self.parts:
                del answers[part]

    def open_crashes(self) -> dict[int, tuple[Crash, ...]]:
        """Return for each part the crashes after its last complete answer."""
        found: dict[int, list[Crash]] = defaultdict(list)
        for crash in self._crashes:
            for part in crash.shared_parts:
                if crash.at > self._answered_at.get(part, NEVER):
                    found[part].append(crash)
        return {part: tuple(crashes) for part, crashes in found.items()}

    def others_answered(self, part: int, since: float) -> bool:
        """Return whether a prompt without the part was answered after ``since``."""
        return self._others_answered_at.get(part, NEVER) > since

    def awaiting_others(self) -> frozenset[int]:
        """Return the suspected parts for which an answer to another prompt would be news."""
        return frozenset(
            part for part, crashes in self.open_crashes().items() if self._unanswered(part, crashes)
        )

    def _unanswered(self, part: int, crashes: Iterable[Crash]) -> tuple[Crash, ...]:
        """Return the crashes after the last answer to a prompt without the part.

        An earlier answer is no proof if the crashes before it turn out to have another cause.
        """
        return tuple(item for item in crashes if not self.others_answered(part, item.at))


def _limit(prompts: frozenset[tuple[int, ...]]) -> frozenset[tuple[int, ...]]:
    """Return as many prompts as fit the limits; the choice is the same at all daemons."""
    kept, keys = [], 0
    for prompt in sorted(prompts, key=lambda item: (len(item), item))[:MAX_PROMPTS]:
        keys += len(prompt)
        if keys > MAX_KEYS:
            break
        kept.append(prompt)
    return frozenset(kept)
