"""Estimates and bounds of the time from the send of a request to the end of its answer."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
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
    :param event_s: mean seconds between the events of a stream, None for other answers.
    """

    tokens: int
    begin_s: float
    body_s: float
    event_s: float | None


class _Sent(NamedTuple):
    tokens: int
    sent_at: float


class _Begun(NamedTuple):
    """An answer whose body has begun.

    :param events: events that the client had received before, from other replicas.
    """

    sent: _Sent
    begun_at: float
    events: int


class _RouteTimes:
    """Answers of one route: those that have ended, and those that are awaited, oldest first."""

    def __init__(self):
        self.ended: deque[_AnswerTime] = deque(maxlen=KEPT_ANSWERS)
        self.sent: dict[object, _Sent] = {}
        self.begun: dict[object, _Begun] = {}


class AnswerTimes:
    """Estimates how long the answers of each route take.

    An estimate is the largest of the last answers and of the oldest that is awaited now, so that it
    follows replicas that turn slow. The beginning and the body of an answer are estimated apart,
    because the length of the body depends on the request. The next answer may be longer than all of
    the last ones; :meth:`longest_s` bounds it by the limit that the request states.

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

    def begin_body(self, key: object, route: str, events: int, now: float) -> None:
        """Record the first bytes of an answer's body.

        :param events: events that the client has received so far.
        """
        times = self._routes.get(route)
        sent = times.sent.pop(key, None) if times is not None else None
        if sent is not None:
            times.begun[key] = _Begun(sent, now, events)

    def end_send(self, key: object, route: str, answered: bool, events: int, now: float) -> None:
        """Record the end of a send.

        :param answered: whether its answer is complete; otherwise its time says nothing.
        :param events: events that the client has received so far.
        """
        times = self._routes.get(route)
        if times is None:
            return
        begun = times.begun.pop(key, None)
        sent = begun.sent if begun is not None else times.sent.pop(key, None)
        if sent is None or not answered:
            return
        begun_at = begun.begun_at if begun is not None else now
        event_s = _event_s(begun, events, now) if begun is not None else None
        times.ended.append(
            _AnswerTime(sent.tokens, begun_at - sent.sent_at, now - begun_at, event_s)
        )

    def expected_s(self, route: str, tokens: int, initial_s: float, now: float) -> float:
        """Return an upper estimate of the seconds from a send to the end of its answer.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        :param initial_s: estimate of the beginning while no answer of the route is known.
        """
        times = self._routes.get(route) or _RouteTimes()
        body_s = _longest_body_s(times.ended, tokens)
        oldest = next(iter(times.begun.values()), None)
        if oldest is not None:
            body_s = max(body_s, now - oldest.begun_at)
        return _begin_s(times, initial_s, now) + body_s

    def longest_s(
        self,
        route: str,
        tokens: int,
        initial_s: float,
        count_events: Callable[[object], int],
        now: float,
    ) -> float:
        """Return the seconds from a send to the end of an answer that uses its limit of tokens.

        An event holds one token or more, and the slowest stream of the route gives the time between
        events. Without a limit or a stream that shows the pace, the time is infinite.

        :param tokens: most tokens that the answer may have, 0 if it is unknown.
        :param initial_s: estimate of the beginning while no answer of the route is known.
        :param count_events: returns the events that the client of a send has received so far.
        """
        times = self._routes.get(route) or _RouteTimes()
        paces = [item.event_s for item in times.ended if item.event_s is not None]
        paces += [_event_s(item, count_events(key), now) for key, item in times.begun.items()]
        if not tokens or not paces:
            return math.inf
        return _begin_s(times, initial_s, now) + tokens * max(paces)


def _begin_s(times: _RouteTimes, initial_s: float, now: float) -> float:
    """Return the longest time from a send to the beginning of its answer."""
    begin_s = max((item.begin_s for item in times.ended), default=initial_s)
    oldest = next(iter(times.sent.values()), None)
    return begin_s if oldest is None else max(begin_s, now - oldest.sent_at)


def _event_s(begun: _Begun, events: int, now: float) -> float:
    """Return the mean seconds between the events of an answer.

    :param events: events that the client has received so far.
    """
    return (now - begun.begun_at) / max(1, events - begun.events - 1)


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
