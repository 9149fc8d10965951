"""Figures of replicas in the messages between daemons."""

import math

from greengagehoist.replicas import (
    NO_FIGURES,
    LearntSlowdown,
    ReplicaCounts,
    ReplicaFigures,
)

THOUSANDTHS = 1000
MAX_COUNT = 10**9
# Sums that go to other data centres are rounded, so that most of them are unchanged and not sent.
FAR_TOKENS_STEP = 1_000
FAR_MEMORY_STEP = 20_000
# A learnt slowdown is sent when it has changed by this much.
SLOWDOWN_STEP = 20
WEIGHT_STEP = 5
# Several data centres together.
MAX_WEIGHT = 400

Figures = tuple[int, ...]


def encode_figures(figures: ReplicaFigures) -> Figures:
    """Return the counts, the learnt slowdown in thousandths and its weight; empty for none."""
    if figures == NO_FIGURES:
        return ()
    weight = figures.slowdown.weight
    if not weight:
        return tuple(figures.counts)
    slowdown = round(figures.slowdown.factor * THOUSANDTHS / SLOWDOWN_STEP) * SLOWDOWN_STEP
    step = WEIGHT_STEP if weight > WEIGHT_STEP else 1
    return (*figures.counts, max(1, slowdown), math.ceil(weight / step) * step)


def decode_figures(figures: Figures) -> ReplicaFigures:
    """Return the figures that a message states.

    :raises ValueError: if it is none of the forms that :func:`encode_figures` returns.
    """
    if len(figures) not in (0, 4, 6) or not all(0 <= item <= MAX_COUNT for item in figures):
        raise ValueError("accepted: no figures, 4 or 6 of them, not negative")
    if not figures:
        return NO_FIGURES
    if len(figures) == 4:
        return ReplicaFigures(ReplicaCounts(*figures))
    log = math.log(max(1, figures[4]) / THOUSANDTHS)
    weight = float(min(MAX_WEIGHT, figures[5]))
    return ReplicaFigures(ReplicaCounts(*figures[:4]), LearntSlowdown(log, weight))


def decode_all(
    replicas: tuple[str, ...], figures: tuple[Figures, ...]
) -> dict[str, ReplicaFigures]:
    """Return the figures of a message by replica id.

    :raises ValueError: if the message is malformed.
    """
    if len(replicas) != len(figures):
        raise ValueError(f"{len(replicas)} replicas and {len(figures)} figures")
    return {key: decode_figures(item) for key, item in zip(replicas, figures, strict=True)}


def round_for_far(figures: ReplicaFigures) -> ReplicaFigures:
    """Return figures as they go to other data centres."""
    counts = figures.counts
    tokens = round(counts.waiting_tokens / FAR_TOKENS_STEP) * FAR_TOKENS_STEP
    memory = round(counts.held_tokens / FAR_MEMORY_STEP) * FAR_MEMORY_STEP
    return figures._replace(counts=counts._replace(waiting_tokens=tokens, held_tokens=memory))
