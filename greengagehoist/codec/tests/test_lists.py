"""Guards against list files that crash the parser, and against problems without a position."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.codec import ListFile, ListFilesError, parse_list_files
from greengagehoist.config import Problem, validate_lists
from greengagehoist.standins._profiles import property_settings

EXAMPLES = Path(__file__).parents[3] / "examples" / "lists"
FUZZ = property_settings(200)
LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
NAMES = st.sampled_from(
    ["holdings", "usage", "pipelines", "services", "settings", "limits", "quiet", "spans", "days"]
)
DOCUMENTS = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4),
    max_leaves=20,
)


def parse(plans: bytes, usage: bytes):
    return parse_list_files(ListFile("plans.yaml", plans), ListFile("usage.yaml", usage))


@pytest.mark.parametrize("deployment", ["gully", "kiosk"])
def test_example_lists_are_valid(deployment):
    folder = EXAMPLES / deployment
    lists = parse((folder / "plans.yaml").read_bytes(), (folder / "usage.yaml").read_bytes())
    assert len(lists["holdings"]) == 5
    assert all(len(pipeline["stages"]) == 4 for pipeline in lists["pipelines"].values())


@pytest.mark.parametrize(
    "plans, expected",
    [
        (b"holdings:\n  a: {plan: x, plan: y}", "plans.yaml:2:16: holdings.a.plan: got 'plan'"),
        (b"holdings: &a {x: *a}", "plans.yaml:1:11: document: got 'a', accepted no anchors"),
        (b"holdings: " + b"[" * 50, "plans.yaml:1:"),
        (b"holdings: \xff", "plans.yaml:1:1: document: got 'invalid start byte'"),
        (b"holdings: !!python/object:os.system {}", "plans.yaml:1:11: holdings: got 'tag:"),
        (b"holdings:\n  a:\n    plan: -1\n", "plans.yaml:3:5: holdings.a.plan: got -1"),
        (b"x" * (9 * 1024 * 1024), "plans.yaml:1:1: document: got 9437184"),
    ],
)
def test_problem_has_a_position(plans, expected):
    with pytest.raises(ListFilesError) as caught:
        parse(plans, b"usage: {}")
    assert expected in str(caught.value)


@FUZZ
@given(st.binary(max_size=200) | st.text(alphabet="abc:-[]{}&*!\n \"'|>%@,0", max_size=80))
def test_any_file_gives_lists_or_problems(content):
    data = content if isinstance(content, bytes) else content.encode()
    try:
        parse(data, data)
    except ListFilesError as exc:
        assert exc.problems


@FUZZ
@given(DOCUMENTS)
def test_any_document_is_valid_or_has_problems(document):
    assert all(isinstance(problem, Problem) for problem in validate_lists(document))
