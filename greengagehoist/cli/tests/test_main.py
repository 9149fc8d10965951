"""Guards against wrong exit codes, a shown credential and outcomes reported as certain."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from greengagehoist.cli import main
from greengagehoist.cli._client import Answered, NoAnswer
from greengagehoist.cli._files import read_list_files, write_list_files
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
        (["apply", *GULLY, *UNREACHABLE], 1),
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
def test_outcome_of_apply_is_never_overstated(response, uncertain, exit_code):
    with pytest.raises(CommandError) as caught:
        _accepted_version(response, uncertain, "op-1")
    assert caught.value.exit_code == exit_code


def test_written_list_files_read_back_equal(tmp_path):
    lists = read_list_files(*(Path(name) for name in GULLY))
    write_list_files(tmp_path, lists)
    assert read_list_files(tmp_path / "plans.yaml", tmp_path / "usage.yaml") == lists
