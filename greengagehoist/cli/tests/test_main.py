"""Guards against wrong exit codes, a printed credential and uncertain outcomes shown as certain."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from greengagehoist.cli import main
from greengagehoist.cli._client import Answered, NoAnswer
from greengagehoist.cli._files import (
    read_base,
    read_list_files,
    update_base,
    write_list_files,
)
from greengagehoist.cli._main import CommandError, _accepted_version

LISTS = Path(__file__).parents[3] / "examples" / "lists"
GULLY = [str(LISTS / "gully" / name) for name in ("plans.yaml", "usage.yaml")]
UNREACHABLE = ["--operators", "127.0.0.1:1", "--credential", "hidden-credential"]


@pytest.mark.parametrize(
    "args, exit_code",
    [
        (["validate", *GULLY], 0),
        (["validate", GULLY[1], GULLY[0]], 2),
        (["diff", *GULLY, *UNREACHABLE], 1),
        (["apply", *GULLY, *UNREACHABLE], 2),
        (["apply", *GULLY, "--base", "0", *UNREACHABLE], 1),
        (["status", *UNREACHABLE], 1),
        (["status", "--operators", "nowhere", "--credential", "hidden-credential"], 2),
        (["completion", "bash"], 0),
    ],
)
def test_exit_code_without_a_daemon(args, exit_code):
    result = CliRunner().invoke(main, args)
    assert result.exit_code == exit_code
    assert "hidden-credential" not in result.output


@pytest.mark.parametrize(
    "response, uncertain, exit_code",
    [
        (Answered(409, {"error": {"message": "taken", "others": []}}), True, 3),
        (Answered(400, {"error": {"message": "bad"}}), False, 2),
        (Answered(503, {"error": {"message": "down", "outcome": "not_run"}}), False, 1),
        (Answered(503, {"error": {"message": "down", "outcome": "not_run"}}), True, 4),
        (Answered(503, {"error": {"message": "down", "outcome": "unknown"}}), False, 4),
        (NoAnswer("refused", sent=False), False, 1),
        (NoAnswer("timeout", sent=True), False, 4),
    ],
)
def test_uncertain_outcome_of_apply_is_not_reported_as_certain(response, uncertain, exit_code):
    with pytest.raises(CommandError) as caught:
        _accepted_version(response, uncertain, "op-1")
    assert caught.value.exit_code == exit_code


@pytest.fixture
def files(tmp_path):
    """Return list files of version 41 as ``get`` writes them."""
    lists = read_list_files(*(Path(name) for name in GULLY))
    return tuple(Path(name) for name in write_list_files(tmp_path, lists, 41))


def test_written_list_files_read_back_equal(files):
    assert read_list_files(*files) == read_list_files(*(Path(name) for name in GULLY))
    assert read_base(*files) == 41


def invoke_apply(monkeypatch, files, in_force, *args):
    """Run ``apply`` against a daemon with empty lists; return the result and the proposed bases."""
    sent = []

    async def call_any(connection, method, path, body=None):
        lists = {"holdings": {}, "usage": {}, "pipelines": {}, "services": {}, "settings": {}}
        return Answered(200, {"version": in_force, "lists": lists, "versions": []})

    async def propose(connection, proposal):
        sent.append(proposal.base)
        return Answered(200, {"version": proposal.base + 1}), False

    monkeypatch.setattr("greengagehoist.cli._main.call_any", call_any)
    monkeypatch.setattr("greengagehoist.cli._main.propose", propose)
    given = ["apply", *(str(name) for name in files), *args, *UNREACHABLE]
    return CliRunner().invoke(main, given), sent


@pytest.mark.parametrize(
    "in_force, args, exit_code, sent",
    [
        (41, [], 0, [41]),
        (42, [], 3, []),
        (42, ["--base", "42"], 0, [42]),
        (41, ["--base", "0"], 3, []),
    ],
)
def test_apply_never_overwrites_a_version_that_was_not_read(
    monkeypatch, files, in_force, args, exit_code, sent
):
    result, bases = invoke_apply(monkeypatch, files, in_force, *args)
    assert (result.exit_code, bases) == (exit_code, sent)
    assert read_base(*files) == (sent[0] + 1 if sent else 41)


@pytest.mark.parametrize("in_force", [0, 41])
def test_apply_of_files_without_a_version_requires_a_base(monkeypatch, in_force):
    result, bases = invoke_apply(monkeypatch, GULLY, in_force)
    assert (result.exit_code, bases) == (2, [])
    assert "--base" in result.output
    result, bases = invoke_apply(monkeypatch, GULLY, in_force, "--base", "0")
    assert (result.exit_code, bases) == ((3, []) if in_force else (0, [0]))


def test_apply_of_files_of_different_versions_requires_a_base(monkeypatch, files):
    update_base(40, files[1])
    result, bases = invoke_apply(monkeypatch, files, 41)
    assert (result.exit_code, bases) == (2, [])
    assert "--base" in result.output
