"""Requests that this daemon has at replicas."""

from typing import NamedTuple

from greengagehoist.replicas._expected_time import (
    NO_REQUESTS,
    PromptWork,
    ReplicaCounts,
    Work,
    add_counts,
    counts_of,
    subtract_counts,
)


class OwnSend(NamedTuple):
    """A request at a replica.

    :param counts: what it adds to the counts of the replica now.
    :param usual_s: seconds to its first event that were expected at the usual speed.
    :param sent_at: time of the send.
    """

    replica_id: str
    work: Work
    counts: ReplicaCounts
    usual_s: float
    sent_at: float


class OwnSends:
    """Requests of this daemon by ticket, and their sums by replica."""

    def __init__(self):
        self._sends: dict[int, OwnSend] = {}
        self._counts: dict[str, ReplicaCounts] = {}

    def counts(self) -> dict[str, ReplicaCounts]:
        """Return the counts of the replicas that have requests."""
        return dict(self._counts)

    def at(self, replica_id: str) -> ReplicaCounts:
        """Return the counts of a replica."""
        return self._counts.get(replica_id, NO_REQUESTS)

    def replica_of(self, ticket: int) -> str:
        """Return the id of the replica of a request, empty if it is unknown."""
        send = self._sends.get(ticket)
        return send.replica_id if send is not None else ""

    def begin(
        self,
        ticket: int,
        replica_id: str,
        work: Work,
        holds_parts: bool,
        usual_s: float,
        now: float,
    ) -> None:
        """Count a request from its choice on.

        :param holds_parts: whether the replica holds the shared parts of the prompt.
        """
        self.end(ticket)
        counts = counts_of(work, holds_parts)
        self._sends[ticket] = OwnSend(replica_id, work, counts, usual_s, now)
        self._add(replica_id, counts)

    def begin_answer(self, ticket: int) -> OwnSend | None:
        """Count a request as running; return it unless its answer had begun before."""
        send = self._sends.get(ticket)
        if send is None or not isinstance(send.work, PromptWork) or not send.counts.waiting:
            return None
        running = ReplicaCounts(running=1, held_tokens=send.counts.held_tokens)
        self._subtract(send.replica_id, send.counts)
        self._add(send.replica_id, running)
        self._sends[ticket] = send._replace(counts=running)
        return send

    def end(self, ticket: int) -> OwnSend | None:
        """Forget a request; return it unless it was unknown."""
        send = self._sends.pop(ticket, None)
        if send is not None:
            self._subtract(send.replica_id, send.counts)
        return send

    def _add(self, replica_id: str, counts: ReplicaCounts) -> None:
        self._counts[replica_id] = add_counts(self.at(replica_id), counts)

    def _subtract(self, replica_id: str, counts: ReplicaCounts) -> None:
        rest = subtract_counts(self.at(replica_id), counts)
        if rest == NO_REQUESTS:
            self._counts.pop(replica_id, None)
        else:
            self._counts[replica_id] = rest
