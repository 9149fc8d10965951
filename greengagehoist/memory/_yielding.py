"""Who gives memory back when others wait for it."""

from collections.abc import Collection, Mapping

from greengagehoist.memory._account import Arriving, Ask, Buffered, Holding, Kept, Unsent

# Whoever has made progress within this time keeps its memory as long as anybody can go on.
MIN_STALL_S = 0.5
MIN_ELAPSED_S = 0.001


def choose_yielding(
    holdings: Mapping[object, Holding],
    asks: Mapping[object, Ask],
    yielding: Collection[object],
    missing: int,
    now: float,
) -> list[object]:
    """Return the keys that must give back what they hold, those with the least progress first.

    Requests that are complete and answers that a replica sends are not among them: they end within the
    time-outs of their routes.

    :param yielding: keys that were chosen before and have not given back yet.
    :param missing: bytes that are needed.
    """
    open_keys = {key: item for key, item in holdings.items() if _may_yield(item)}
    left = missing - sum(open_keys[key].size for key in yielding if key in open_keys)
    stalled = {key: _stalled_s(item, asks.get(key), now) for key, item in open_keys.items()}
    can_go_on = any(key not in asks and since < MIN_STALL_S for key, since in stalled.items())
    progress = {
        key: _progress(item, stalled[key])
        for key, item in open_keys.items()
        if key not in yielding and (stalled[key] >= MIN_STALL_S or not can_go_on)
    }
    chosen = []
    for key in sorted(progress, key=progress.get):
        if left <= 0:
            break
        chosen.append(key)
        left -= open_keys[key].size
    return chosen


def _may_yield(holding: Holding) -> bool:
    match holding.purpose:
        case Arriving() | Unsent():
            return True
        case Kept() | Buffered():
            return False


def _stalled_s(holding: Holding, ask: Ask | None, now: float) -> float:
    """Return the seconds without progress, other than those of a wait for memory."""
    return (ask.since if ask is not None else now) - holding.since


def _progress(holding: Holding, stalled_s: float) -> float:
    """Return the progress since the last grant, in parts of what is held, a second."""
    return holding.step / max(MIN_ELAPSED_S, stalled_s) / max(1, holding.size)
