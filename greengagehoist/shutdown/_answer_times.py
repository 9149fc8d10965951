"""Upper estimates of the time from the send of a request to the end of its answer."""

from collections import defaultdict, deque
from typing import NamedTuple

# Answers of each route whose times are kept.
KEPT_ANSWERS = 64
# Pace of the answer's body before the first answer of a route.
INITIAL_PACE_S_PER_TOKEN = 0.02


class _Sent(NamedTuple):
    """A request whose answer has not ended.

    :param tokens: most tokens that the answer may have, at least 1.
    :param begun_at: time of the first bytes of the body, None before them.
    """

    route: str
    tokens: int
    sent_at: float
    begun_at: float | None = None


class _AnswerTime(NamedTuple):
    """Time of an answer.

    :param begin_s: seconds from the send to the first bytes of the body.
    :param pace_s: seconds of the body for each token that it may have.
    """

    begin_s: float
    pace_s: float


def _time_of(sent: _Sent, now: float) -> _AnswerTime:
    if sent.begun_at is None:
        return _AnswerTime(now - sent.sent_at, 0.0)
    return _AnswerTime(sent.begun_at - sent.sent_at, (now - sent.begun_at) / sent.tokens)


class AnswerTimes:
    """Estimates how long the answers of each route take.

    An estimate is the largest of the last answers and of those that are awaited now, so that it
    follows replicas that turn slow. The beginning and the body of an answer are estimated apart,
    because the length of the body depends on the request.

    Each send is known by a key that the caller chooses.
    """

    def __init__(self):
        self._ended: dict[str, deque[_AnswerTime]] = defaultdict(lambda: deque(maxlen=KEPT_ANSWERS))
        self._sent: dict[object, _Sent] = {}

    def begin_send(self, key: object, route: str, tokens: int, now: float) -> None:
        """Record the send of a request.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        """
        self._sent[key] = _Sent(route, max(1, tokens), now)

    def begin_body(self, key: object, now: float) -> None:
        """Record the first bytes of an answer's body."""
        sent = self._sent.get(key)
        if sent is not None:
            self._sent[key] = sent._replace(begun_at=now)

    def end_send(self, key: object, answered: bool, now: float) -> None:
        """Record the end of a send.

        :param answered: whether its answer has ended; otherwise its time says nothing.
        """
        sent = self._sent.pop(key, None)
        if sent is not None and answered:
            self._ended[sent.route].append(_time_of(sent, now))

    def expected_s(self, route: str, tokens: int, initial_s: float, now: float) -> float:
        """Return an upper estimate of the seconds from a send to the end of its answer.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        :param initial_s: estimate of the beginning while no answer of the route is known.
        """
        awaited = [_time_of(item, now) for item in self._sent.values() if item.route == route]
        ended = self._ended.get(route)
        if not ended:
            pace_s = INITIAL_PACE_S_PER_TOKEN if tokens else 0.0
            awaited.append(_AnswerTime(initial_s, pace_s))
        known = [*(ended or ()), *awaited]
        begin_s = max(item.begin_s for item in known)
        return begin_s + max(item.pace_s for item in known) * max(1, tokens)
