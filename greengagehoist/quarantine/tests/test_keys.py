"""Guards against two requests that are taken for one, or one that is taken for two."""

import pytest

from greengagehoist.quarantine import part_key, request_key

REQUEST = (b"POST", "h.example", b"/book/1?x=2", "t1", b"body")


def test_request_that_comes_again_has_the_same_key():
    assert request_key(*REQUEST) == request_key(*REQUEST)


@pytest.mark.parametrize(
    "other",
    [
        (b"PUT", "h.example", b"/book/1?x=2", "t1", b"body"),
        (b"POST", "g.example", b"/book/1?x=2", "t1", b"body"),
        (b"POST", "h.example", b"/book/1?x=3", "t1", b"body"),
        (b"POST", "h.example", b"/book/1?x=2", "t2", b"body"),
        (b"POST", "h.example", b"/book/1?x=2", "t1", b"other"),
        (b"POST", "h.example", b"/book/1?x=2", "t1b", b"ody"),
    ],
)
def test_other_request_has_another_key(other):
    assert request_key(*other) != request_key(*REQUEST)


def test_key_of_a_request_is_not_that_of_a_part():
    assert request_key(b"", "", b"", "", b"") != part_key("")
