"""Upper estimates of the time from the send of a request to the end of its answer."""

from collections import OrderedDict, deque
from typing import NamedTuple

# Answers of each route whose times are kept, and routes.
KEPT_ANSWERS = 64
KEPT_ROUTES = 1024
# Body of an answer with a known limit of its tokens, before the first answer of a route.
INITIAL_PACE_S_PER_TOKEN = 0.02
# Limits of tokens within this factor of each other lead to answers of like length. Answers are often
# far shorter than their limit, so the limit alone does not give the length.
SIMILAR_FACTOR = 2.0
MIN_SIMILAR_ANSWERS = 4


class _AnswerTime(NamedTuple):
    """Time of an answer that has ended.

    :param tokens: most tokens that it might have had, at least 1.
    :param begin_s: seconds from the send to the first bytes of the body.
    :param body_s: seconds from there to the end.
    """

    tokens: int
    begin_s: float
    body_s: float


class _Sent(NamedTuple):
    tokens: int
    sent_at: float


class _RouteTimes:
    """Answers of one route: those that have ended, and those that are awaited, oldest first."""

    def __init__(self):
        self.ended: deque[_AnswerTime] = deque(maxlen=KEPT_ANSWERS)
        self.sent: dict[object, _Sent] = {}
        self.begun: dict[object, tuple[_Sent, float]] = {}


class AnswerTimes:
    """Estimates how long the answers of each route take.

    An estimate is the largest of the last answers and of the oldest that is awaited now, so that it
    follows replicas that turn slow. The beginning and the body of an answer are estimated apart,
    because the length of the body depends on the request.

    Each send is known by a key that the caller chooses.
    """

    def __init__(self):
        self._routes: OrderedDict[str, _RouteTimes] = OrderedDict()

    def begin_send(self, key: object, route: str, tokens: int, now: float) -> None:
        """Record the send of a request.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        """
        times = self._routes.setdefault(route, _RouteTimes())
        times.sent[key] = _Sent(max(1, tokens), now)
        self._routes.move_to_end(route)
        if len(self._routes) > KEPT_ROUTES:
            self._routes.popitem(last=False)

    def begin_body(self, key: object, route: str, now: float) -> None:
        """Record the first bytes of an answer's body."""
        times = self._routes.get(route)
        sent = times.sent.pop(key, None) if times is not None else None
        if sent is not None:
            times.begun[key] = (sent, now)

    def end_send(self, key: object, route: str, answered: bool, now: float) -> None:
        """Record the end of a send.

        :param answered: whether its answer is complete; otherwise its time says nothing.
        """
        times = self._routes.get(route)
        if times is None:
            return
        sent, begun_at = times.begun.pop(key, None) or (times.sent.pop(key, None), now)
        if sent is not None and answered:
            begin_s, body_s = begun_at - sent.sent_at, now - begun_at
            times.ended.append(_AnswerTime(sent.tokens, begin_s, body_s))

    def expected_s(self, route: str, tokens: int, initial_s: float, now: float) -> float:
        """Return an upper estimate of the seconds from a send to the end of its answer.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        :param initial_s: estimate of the beginning while no answer of the route is known.
        """
        times = self._routes.get(route) or _RouteTimes()
        begin_s = max((item.begin_s for item in times.ended), default=initial_s)
        body_s = _longest_body_s(times.ended, tokens)
        oldest = next(iter(times.sent.values()), None)
        if oldest is not None:
            begin_s = max(begin_s, now - oldest.sent_at)
        _, begun_at = next(iter(times.begun.values()), (None, now))
        return begin_s + max(body_s, now - begun_at)


def _longest_body_s(ended: deque[_AnswerTime], tokens: int) -> float:
    """Return the longest body of the answers to similar requests, or of all if these are few."""
    if not ended:
        return INITIAL_PACE_S_PER_TOKEN * tokens
    tokens = max(1, tokens)
    similar = [
        item
        for item in ended
        if item.tokens / SIMILAR_FACTOR <= tokens <= item.tokens * SIMILAR_FACTOR
    ]
    known = similar if len(similar) >= MIN_SIMILAR_ANSWERS else ended
    most_tokens = max(item.tokens for item in known)
    return max(item.body_s for item in known) * max(1.0, tokens / most_tokens)
