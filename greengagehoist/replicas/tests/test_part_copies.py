"""Guards against copies of prompt parts that are not known, or counted after their eviction."""

import pytest

from greengagehoist.replicas import COPY_KEPT_S, PartCopies
from greengagehoist.replicas._part_copies import MAX_COPIES


@pytest.fixture
def copies():
    return PartCopies()


def test_copy_counts_while_it_is_used(copies):
    copies.note(1, "r", 0.0)
    copies.note(1, "q", 5.0)
    assert copies.of(1, 9.0) == {"r", "q"}
    assert copies.of(1, COPY_KEPT_S + 1.0) == {"q"}
    assert copies.of(2, 0.0) == frozenset()


def test_only_news_and_late_refreshes_are_passed_on(copies):
    """A hot part is used many times a second."""
    told = [copies.note(1, "r", 0.1 * n) for n in range(200)]
    assert told[0] and sum(told) <= 5


def test_copies_are_bounded(copies):
    """Clients choose how many parts there are."""
    for number in range(4 * MAX_COPIES):
        copies.note(number, "r", 0.0001 * number)
    assert copies._count <= MAX_COPIES and copies.note(-1, "r", 1.0)
    assert copies.of(-1, 1.0) == {"r"}
