"""Guards against accepting results that are truncated, altered or from another attempt."""

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.answers import (
    Appended,
    AttemptEvent,
    AttemptState,
    Closed,
    Dropped,
    Stream,
    accept_chunk,
    accept_end,
    accept_output,
    digest_text,
    digest_tokens,
    end_attempt,
    open_attempt,
)
from greengagehoist.standins._profiles import property_settings

GENERATION = tuple(f"t{index}" for index in range(12))
MAX_TOKENS = 16

chunks = st.tuples(st.just("chunk"), st.integers(0, 12), st.integers(1, 5))
ends = st.tuples(st.just("end"), st.just(0), st.just(0))
foreign = st.tuples(st.sampled_from(["foreign", "old"]), st.integers(0, 12), st.integers(1, 5))
corrupt = st.tuples(st.just("corrupt"), st.integers(0, 14), st.integers(1, 3))
losses = st.tuples(st.just("lose"), st.just(0), st.just(0))
in_order = st.tuples(st.just("next"), st.just(0), st.integers(1, 5))
wrong_ends = st.tuples(st.just("short_end"), st.integers(0, 12), st.just(0))
steps = st.lists(
    st.one_of(in_order, in_order, in_order, chunks, ends, foreign, corrupt, losses, wrong_ends),
    max_size=60,
)


def apply_step(stream, number, step):
    """Return the verdict on a message of an engine during attempt ``number``."""
    kind, offset, length = step
    own, tokens = ("r1", "engine", number), GENERATION[offset : offset + length]
    match kind:
        case "next":
            at = len(stream.tokens)
            return accept_chunk(stream, own, at, GENERATION[at : at + length], MAX_TOKENS)
        case "chunk":
            return accept_chunk(stream, own, offset, tokens, MAX_TOKENS)
        case "foreign":
            return accept_chunk(
                stream, ("r2", "engine", number), offset, ("x",) * length, MAX_TOKENS
            )
        case "old":
            return accept_chunk(stream, ("r1", "engine", number - 1), offset, ("x",), MAX_TOKENS)
        case "corrupt":
            return accept_chunk(stream, own, offset, ("bad",) * length, MAX_TOKENS)
        case "end":
            return accept_end(stream, own, len(GENERATION), digest_tokens(GENERATION))
        case "short_end":
            return accept_end(stream, own, offset, digest_tokens(GENERATION[:offset]) + "0")


@property_settings(1500)
@given(steps=steps)
def test_accepted_generation_is_complete_and_unaltered(steps):
    number = 1
    stream = open_attempt(Stream(), ("r1", "engine", number))
    for step in [*steps, *[("next", 0, 5)] * 3, ("end", 0, 0)]:
        if step[0] == "lose":
            stream = end_attempt(stream, AttemptEvent.FAIL)
            verdict = None
        else:
            verdict = apply_step(stream, number, step)
            assert isinstance(verdict, Dropped) == (step[0] in ("foreign", "old"))
            if step[0] == "corrupt" and "bad" not in stream.tokens[step[1] :] != ():
                assert isinstance(verdict, Closed)
        match verdict:
            case Appended(stream=stream) if stream.state is AttemptState.ANSWERED:
                assert stream.tokens == GENERATION
                return
            case Appended(stream=stream, tokens=tokens, offset=offset):
                assert stream.tokens[offset:] == tokens
            case Closed(stream=stream, resume=resume):
                assert resume in (0, len(stream.tokens))
                stream = stream if resume else stream._replace(tokens=())
            case Dropped():
                continue
        if stream.state is not AttemptState.OPEN:
            number += 1
            stream = open_attempt(stream, ("r1", "engine", number))


@property_settings()
@given(cuts=st.lists(st.tuples(st.integers(0, 12), st.integers(1, 12)), max_size=20))
def test_overlaps_are_trimmed_and_gaps_close_the_attempt(cuts):
    stream = open_attempt(Stream(), "a1")
    for offset, length in cuts:
        count = len(stream.tokens)
        verdict = accept_chunk(
            stream, "a1", offset, GENERATION[offset : offset + length], MAX_TOKENS
        )
        assert isinstance(verdict, Closed) == (offset > count)
        if isinstance(verdict, Closed):
            assert verdict.resume == count
            return
        stream = verdict.stream
        assert stream.tokens == GENERATION[: len(stream.tokens)]


def test_output_is_accepted_only_with_its_digest_and_open_attempt():
    stream = open_attempt(Stream(), "a1")
    assert isinstance(accept_output(stream, "a2", "x", digest_text("x")), Dropped)
    assert isinstance(accept_output(stream, "a1", "x", digest_text("y")), Closed)
    answered = accept_output(stream, "a1", "x", digest_text("x")).stream
    assert isinstance(accept_output(answered, "a1", "x", digest_text("x")), Dropped)


def test_more_tokens_than_the_limit_close_the_attempt():
    verdict = accept_chunk(open_attempt(Stream(), "a1"), "a1", 0, GENERATION, len(GENERATION) - 1)
    assert isinstance(verdict, Closed)
