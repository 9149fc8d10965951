"""Usual sizes of the requests of each kind."""

from collections import OrderedDict, deque

# Sizes that are kept of each kind.
WINDOW = 64
# Kinds that are kept; the ones without requests for longest are forgotten.
MAX_KINDS = 512
# Before this many sizes are known, all requests of a kind count as ordinary.
MIN_KNOWN = 10
# Least share of the requests of a kind that are smaller than one of each class. The page's bounds
# are for the largest tenth of a kind and for the fifth below it.
CLASSES = ((0.9, "largest"), (0.7, "large"))
ORDINARY = ""


class Sizes:
    """The last sizes of the requests of each kind."""

    def __init__(self):
        self._sizes: OrderedDict[str, deque[int]] = OrderedDict()

    def class_of(self, kind: str, size: int) -> str:
        """Record a request; return its class among the requests of its kind."""
        known = self._sizes.setdefault(kind, deque(maxlen=WINDOW))
        self._sizes.move_to_end(kind)
        if len(self._sizes) > MAX_KINDS:
            self._sizes.popitem(last=False)
        # Half of the equal ones count as smaller, so that kinds with few sizes have large ones too.
        smaller = sum(item < size for item in known) + sum(item == size for item in known) / 2
        found = ORDINARY
        if len(known) >= MIN_KNOWN:
            found = next((name for share, name in CLASSES if smaller >= share * len(known)), "")
        known.append(size)
        return found
