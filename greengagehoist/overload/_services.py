"""Room at the replicas of plain services, as far as their answers show it."""

from collections import OrderedDict
from typing import NamedTuple

# Run time of a request before the first answer of a service.
INITIAL_RUN_S = 0.1
# Weight of a new sample in the moving average of the run time.
RUN_SMOOTHING = 0.05
# A replica that has rejected a request because its queue is full is not tried again until it has
# worked off this fraction of its queue, and for at most MAX_FULL_S.
RETRY_FRACTION = 0.125
MAX_FULL_S = 0.25
# Clients are told to come back when this fraction of the queues is worked off.
RETURN_FRACTION = 0.5
# Queue of a replica relative to its slots, if its answer does not tell it.
USUAL_QUEUE = 4.0
MIN_RETRY_AFTER_S = 0.1
# Services and replicas that are remembered.
MAX_REMEMBERED = 1024


class _Rejection(NamedTuple):
    """A rejection by a replica whose queue was full.

    :param drain_s: seconds in which it works off the whole queue.
    """

    at: float
    drain_s: float


class ServiceRoom:
    """Rejections of replicas by service, and the run time of requests.

    One daemon sees few answers of a replica, so nothing is concluded from their absence.
    """

    def __init__(self):
        self._run_s: OrderedDict[str, float] = OrderedDict()
        self._rejections: OrderedDict[tuple[str, str], _Rejection] = OrderedDict()

    def observe_answer(self, service: str, replica_id: str, seconds: float) -> None:
        """Record an answer; its replica has room.

        :param seconds: time from the send to the end of the answer, with its time in the queue.
        """
        average = self._run_s.get(service, INITIAL_RUN_S)
        self._run_s[service] = average + RUN_SMOOTHING * (seconds - average)
        self._rejections.pop((service, replica_id), None)
        _bound(self._run_s)

    def observe_rejection(
        self, service: str, replica_id: str, waiting: int, slots: int, now: float
    ) -> None:
        """Record that a replica has not run a request because it had no room.

        :param waiting: length of its queue, 0 if unknown.
        """
        queue = waiting / slots if waiting and slots else USUAL_QUEUE
        # Answers that waited in the queue make the average longer; a full queue is the longest.
        drain_s = queue * self._run_s.get(service, INITIAL_RUN_S)
        self._rejections[(service, replica_id)] = _Rejection(now, drain_s)
        self._rejections.move_to_end((service, replica_id))
        _bound(self._rejections)

    def is_full(self, service: str, replica_id: str, now: float) -> bool:
        """Return whether a replica would probably reject a request."""
        found = self._rejections.get((service, replica_id))
        if found is None:
            return False
        return now < found.at + min(MAX_FULL_S, RETRY_FRACTION * found.drain_s)

    def retry_after_s(self, service: str, now: float, longest_s: float) -> float:
        """Return the seconds after which there will probably be room at a replica of a service.

        :param longest_s: longest time that the client honours.
        """
        rooms_s = [
            found.at + RETURN_FRACTION * found.drain_s - now
            for (name, _), found in self._rejections.items()
            if name == service
        ]
        usual_s = RETURN_FRACTION * USUAL_QUEUE * self._run_s.get(service, INITIAL_RUN_S)
        room_s = min((item for item in rooms_s if item > 0), default=usual_s)
        return max(MIN_RETRY_AFTER_S, min(room_s, longest_s))


def _bound(entries: OrderedDict) -> None:
    if len(entries) > MAX_REMEMBERED:
        entries.popitem(last=False)
