"""Expected time from the send of a request to the first event of its answer."""

from dataclasses import dataclass
from typing import NamedTuple

# Speed of an engine at the usual pace; what its service does differently is learnt as a slowdown.
USUAL_TOKENS_PER_S = 50_000.0
USUAL_STEP_S = 0.003
# Duration of a request of a plain service, likewise.
USUAL_PLAIN_S = 0.05
# Connection, head and first event of an empty prompt.
BASE_S = 0.004


class ReplicaCounts(NamedTuple):
    """Requests that daemons have at a replica.

    :param waiting: requests without a first event.
    :param waiting_tokens: prompt tokens that the replica must read for these.
    :param running: requests whose answers have begun, or that have no prompt.
    :param held_tokens: memory that all of them need, in tokens.
    """

    waiting: int = 0
    waiting_tokens: int = 0
    running: int = 0
    held_tokens: int = 0


NO_REQUESTS = ReplicaCounts()


def add_counts(first: ReplicaCounts, second: ReplicaCounts) -> ReplicaCounts:
    """Return the sum of two counts."""
    return ReplicaCounts(
        first.waiting + second.waiting,
        first.waiting_tokens + second.waiting_tokens,
        first.running + second.running,
        first.held_tokens + second.held_tokens,
    )


def subtract_counts(first: ReplicaCounts, second: ReplicaCounts) -> ReplicaCounts:
    """Return the difference of two counts, at least 0."""
    return ReplicaCounts(*(max(0, a - b) for a, b in zip(first, second, strict=True)))


class ReplicaKnowledge(NamedTuple):
    """What a daemon knows of one replica when it chooses.

    :param counts: requests of all daemons, as far as they are known.
    :param slowdown: duration of its work relative to the usual one.
    :param avoid_until: until this time it gets requests only if no other replica is usable.
    """

    counts: ReplicaCounts = NO_REQUESTS
    slowdown: float = 1.0
    avoid_until: float = 0.0


@dataclass(frozen=True, slots=True)
class PromptWork:
    """A request for an engine, which reads its prompt before the first event.

    :param tokens: tokens of the prompt.
    :param shared_tokens: of these, those in parts that other requests share; a replica that holds the parts
        does not read them again.
    :param answer_tokens: most tokens of the answer.
    """

    tokens: int
    shared_tokens: int = 0
    answer_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PlainWork:
    """A request without a prompt; its time counts to the end of its answer."""


Work = PromptWork | PlainWork


def counts_of(work: Work, holds_parts: bool) -> ReplicaCounts:
    """Return what a request adds to the counts of its replica.

    :param holds_parts: whether the replica holds the shared parts of the prompt.
    """
    match work:
        case PromptWork(tokens, shared_tokens, answer_tokens):
            read = tokens - shared_tokens if holds_parts else tokens
            return ReplicaCounts(1, read, 0, tokens + answer_tokens)
        case PlainWork():
            return ReplicaCounts(running=1)


def expected_s(
    work: Work, known: ReplicaKnowledge, slots: int, kv_tokens: int, holds_parts: bool
) -> float:
    """Return the expected seconds to the first event, or to the end of a plain answer.

    An engine reads prompts one after the other, between the steps of the answers that run.

    :param slots: requests that the replica runs at once.
    :param kv_tokens: tokens in its memory, 0 if unknown.
    """
    counts, slots = known.counts, max(1, slots)
    # Requests that must end before this one can start.
    excess = max(0, counts.waiting + counts.running + 1 - slots)
    match work:
        case PromptWork(tokens, shared_tokens, answer_tokens):
            to_read = tokens - shared_tokens if holds_parts else tokens
            read_s = (counts.waiting_tokens + to_read) / USUAL_TOKENS_PER_S
            answer_s = answer_tokens * USUAL_STEP_S
            blocked = excess / slots
            overflow = counts.held_tokens + tokens + answer_tokens - kv_tokens
            if kv_tokens and overflow > 0:
                blocked = max(blocked, overflow / kv_tokens)
            steps_s = (counts.waiting + 1) * USUAL_STEP_S
            return BASE_S + known.slowdown * (read_s + steps_s + blocked * answer_s)
        case PlainWork():
            return BASE_S + known.slowdown * USUAL_PLAIN_S * (1.0 + excess / slots)


def busy_s(known: ReplicaKnowledge) -> float:
    """Return how busy a replica is with the requests it has, in seconds of work."""
    counts = known.counts
    read_s = counts.waiting_tokens / USUAL_TOKENS_PER_S
    return known.slowdown * (read_s + USUAL_STEP_S * (counts.waiting + counts.running))


def copy_tokens(work: Work) -> int:
    """Return the tokens that another replica reads for a second copy of the shared parts.

    All parts fit into the memory of the replicas once, so that a second copy takes the place of
    another part, which must then be read again.
    """
    match work:
        case PromptWork(_, shared_tokens, _):
            return shared_tokens
        case PlainWork():
            return 0
