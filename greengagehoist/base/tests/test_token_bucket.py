"""Guards against calls beyond the rate of a token bucket."""

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.base import Bucket, change_rate, try_acquire
from greengagehoist.base._token_bucket import capacity
from greengagehoist.platform_client._rates import share
from greengagehoist.standins._profiles import property_settings


@property_settings()
@given(
    rate=st.floats(0.5, 400.0),
    gaps=st.lists(st.floats(0.0, 2.0), max_size=100),
)
def test_calls_stay_within_rate_and_burst(rate, gaps):
    bucket, now, acquired = Bucket(rate, 0.0, 0.0), 0.0, 0
    for gap in gaps:
        now += gap
        bucket, wait = try_acquire(bucket, now)
        acquired += wait == 0
    assert acquired <= now * rate + 1e-6
    assert bucket.tokens <= capacity(bucket)


def test_call_may_start_after_the_returned_wait():
    bucket, wait = try_acquire(Bucket(4.0, 0.0, 0.0), 0.0)
    assert wait == 0.25
    assert try_acquire(bucket, wait)[1] == 0.0


def test_smaller_share_discards_surplus_tokens():
    bucket = change_rate(Bucket(400.0, 400.0, 0.0), share(400.0, 8), 0.0)
    assert (bucket.rate, bucket.tokens) == (50.0, 50.0)
    assert share(400.0, 0) == 400.0
