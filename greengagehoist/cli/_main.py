"""Program ``greengagehoistctl``."""

import asyncio
import getpass
import json
import random
from pathlib import Path
from typing import Any

import click
from click.shell_completion import get_completion_class

from greengagehoist.cli._client import (
    Answered,
    Connection,
    NoAnswer,
    ProposalBody,
    Response,
    build_path,
    call_all,
    call_any,
    error_text,
    may_have_run,
    propose,
)
from greengagehoist.cli._files import read_base, read_list_files, update_base, write_list_files
from greengagehoist.cli._options import (
    BAD_INPUT,
    CONFLICT,
    EXIT_CODES,
    FAILURE,
    OK,
    PROGRAM,
    UNKNOWN,
    CommandError,
    connected,
    printed,
    with_list_files,
)
from greengagehoist.cli._tables import (
    format_changes,
    format_conflict,
    format_history,
    format_status,
    format_trace,
)
from greengagehoist.cli._timeline import format_events, read_timeline
from greengagehoist.config import Change, Config, build_config, diff_lists, lists_to_dict
from greengagehoist.utils import ValidationError, new_id


@click.group(epilog=EXIT_CODES)
def main() -> None:
    """Operate greengagehoist: edit the lists, show the state of all VMs.

    \b
    Examples:
      greengagehoistctl validate plans.yaml usage.yaml
      greengagehoistctl status --operators 10.0.0.1:8081 --operators 10.0.0.2:8081
    """


@main.command()
@printed
@with_list_files
def validate(plans: Path, usage: Path) -> Any:
    """Check both list files without contacting a daemon.

    \b
    Example:
      greengagehoistctl validate plans.yaml usage.yaml
    """
    lists = read_list_files(plans, usage)
    counts = {section: len(entries) for section, entries in lists.items()}
    text = "valid: " + ", ".join(f"{count} {section}" for section, count in counts.items())
    return {"valid": True, "entries": counts}, text, OK


@main.command()
@printed
@connected
@with_list_files
def diff(connection: Connection, plans: Path, usage: Path) -> Any:
    """Show what applying both list files would change.

    \b
    Example:
      greengagehoistctl diff plans.yaml usage.yaml --operators 10.0.0.1:8081
    """
    cfg, changes = _compare(connection, plans, usage)
    text = format_changes(changes, dict(lists_to_dict(cfg))) or "no changes"
    value = {"base": cfg.version, "changes": [change._asdict() for change in changes]}
    return value, f"on top of version {cfg.version}:\n{text}", OK


@main.command()
@printed
@connected
@with_list_files
@click.option("--author", default=getpass.getuser, help="Shown in the history.  [default: user]")
@click.option(
    "--base",
    type=click.IntRange(min=0),
    help="Version that the files are based on, 0 for an empty configuration; a newer version in "
    "force is a conflict.  [default: the version on the files' first line]",
)
def apply(connection: Connection, plans: Path, usage: Path, author: str, base: int | None) -> Any:
    """Replace the lists in force with the content of both list files.

    The files written by "get" name the version that they were read from. Changes that other
    operators made since then are a conflict; they are shown and not overwritten. A successful
    apply updates the version in the files that name one.

    \b
    Example:
      greengagehoistctl get --directory lists --operators 10.0.0.1:8081
      greengagehoistctl apply lists/plans.yaml lists/usage.yaml \\
          --operators 10.0.0.1:8081 --operators 10.0.0.2:8081
    """
    base = _find_base(plans, usage) if base is None else base
    cfg, changes = _compare(connection, plans, usage)
    if base != cfg.version:
        changes_since = _changes_since(connection, base, cfg.version)
        text = f"version {cfg.version} is in force, the files are based on {base}"
        raise CommandError(f"{text}\n{format_conflict(changes_since)}".rstrip(), CONFLICT)
    if not changes:
        return {"version": cfg.version, "changes": []}, f"no changes to {cfg.version}", OK
    click.echo(format_changes(changes, dict(lists_to_dict(cfg))), err=True)
    op_id = new_id(random.SystemRandom())
    proposal = ProposalBody(base, changes, author, op_id)
    response, uncertain = asyncio.run(propose(connection, proposal))
    version = _accepted_version(response, uncertain, op_id)
    update_base(version, plans, usage)
    value = {"version": version, "changes": [change._asdict() for change in changes]}
    return value, f"version {version} accepted", OK


def _find_base(plans: Path, usage: Path) -> int:
    try:
        base = read_base(plans, usage)
    except ValueError as exc:
        raise CommandError(f"{exc}; give the right one with --base", BAD_INPUT) from exc
    if base is None:
        text = (
            'the files name no version that they are based on; read the lists with "get '
            '--directory", or give --base (0 for an empty configuration)'
        )
        raise CommandError(text, BAD_INPUT)
    return base


def _compare(connection: Connection, plans: Path, usage: Path) -> tuple[Config, tuple[Change, ...]]:
    wanted = build_config(read_list_files(plans, usage))
    cfg = _get_config(connection)
    return cfg, diff_lists(cfg, wanted)


def _get_config(connection: Connection) -> Config:
    body = _body(asyncio.run(call_any(connection, "GET", "/admin/config")))
    try:
        return build_config(body["lists"], body["version"])
    except (ValidationError, KeyError) as exc:
        raise CommandError(f"the daemon's lists are not valid here: {exc}") from exc


def _changes_since(connection: Connection, base: int, version: int) -> list[dict[str, Any]]:
    path = build_path("/admin/config/history", limit=min(max(version - base, 1), 100))
    response = asyncio.run(call_any(connection, "GET", path))
    versions = response.body.get("versions", []) if isinstance(response, Answered) else []
    return [item for item in versions if item["version"] > base]


def _accepted_version(response: Response, uncertain: bool, op_id: str) -> int:
    """Return the accepted version of a proposal.

    :raises CommandError: with the exit code of any other outcome.
    """
    match response:
        case Answered(status=200, body={"version": int(version)}):
            return version
        case Answered(status=409, body={"error": error}):
            text = f"{error['message']}\n{format_conflict(error.get('others', []))}"
            raise CommandError(text.rstrip(), CONFLICT)
        case Answered(status=400, body={"error": error}):
            lines = [
                f"{p['path']}: got {p['value']}, accepted {p['accepted']}"
                for p in error.get("problems", [])
            ]
            raise CommandError("\n".join(lines or [error["message"]]), BAD_INPUT)
        case Answered(status=status, body=body):
            reason = error_text(status, body)
        case NoAnswer(reason=reason):
            pass
    if uncertain or may_have_run(response):
        text = f"outcome unknown: {reason}; look for operation {op_id} in the history"
        raise CommandError(text, UNKNOWN)
    raise CommandError(f"not accepted: {reason}")


@main.command()
@printed
@connected
@click.option(
    "--directory",
    type=click.Path(file_okay=False, path_type=Path),
    help="Write plans.yaml and usage.yaml there.",
)
def get(connection: Connection, directory: Path | None) -> Any:
    """Show the lists in force or write them as list files.

    \b
    Example:
      greengagehoistctl get --directory lists --operators 10.0.0.1:8081
    """
    cfg = _get_config(connection)
    lists = lists_to_dict(cfg)
    value = {"version": cfg.version, "digest": cfg.digest, "lists": lists}
    if directory is not None:
        names = write_list_files(directory, lists, cfg.version)
        return value, f"version {cfg.version} written to {', '.join(names)}", OK
    changes = [
        Change(section, key, item) for section in lists for key, item in lists[section].items()
    ]
    return value, f"version {cfg.version}\n{format_changes(changes)}", OK


@main.command()
@printed
@connected
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
def history(connection: Connection, limit: int) -> Any:
    """Show accepted versions, the newest last.

    \b
    Example:
      greengagehoistctl history --limit 5 --operators 10.0.0.1:8081
    """
    path = build_path("/admin/config/history", limit=limit)
    body = _body(asyncio.run(call_any(connection, "GET", path)))
    return body, format_history(body["versions"]), OK


@main.command()
@printed
@connected
def status(connection: Connection) -> Any:
    """Show the state of each named daemon; exit code 1 if one is unreachable.

    \b
    Example:
      greengagehoistctl status --operators 10.0.0.1:8081 --operators 10.0.0.2:8081
    """
    responses = asyncio.run(call_all(connection, "GET", "/admin/status"))
    reached = [isinstance(item, Answered) and item.status == 200 for item in responses.values()]
    return _by_address(responses), format_status(responses), OK if all(reached) else FAILURE


@main.command()
@printed
@connected
def drain(connection: Connection) -> Any:
    """Start draining each named daemon.

    \b
    Example:
      greengagehoistctl drain --operators 10.0.0.1:8081
    """
    responses = asyncio.run(call_all(connection, "POST", "/admin/drain"))
    lines, exit_code = [], OK
    for address, response in responses.items():
        match response:
            case Answered(status=202):
                lines.append(f"{address}: draining")
            case Answered(status=code, body=body):
                lines.append(f"{address}: {error_text(code, body)}")
                exit_code = max(exit_code, FAILURE)
            case NoAnswer(reason=reason, sent=sent):
                lines.append(f"{address}: {reason}")
                exit_code = UNKNOWN if sent else max(exit_code, FAILURE)
    return _by_address(responses), "\n".join(lines), exit_code


@main.command()
@printed
@connected
@click.argument("id")
def trace(connection: Connection, id: str) -> Any:
    """Show the spans of the trace ID.

    \b
    Example:
      greengagehoistctl trace 4bf92f3577b34da6a3ce929d0e0e4736 --operators 10.0.0.1:8081
    """
    body = _body(asyncio.run(call_any(connection, "GET", build_path("/admin/traces", id))))
    if not body["spans"]:
        raise CommandError(f"no spans of trace {id!r}")
    return body, format_trace(body["spans"]), OK


@main.command()
@printed
@connected
@click.option("--date", required=True, help="UTC date, for example 2026-01-31.")
@click.option("--customer", default="", help="Customer; all if absent.")
def report(connection: Connection, date: str, customer: str) -> Any:
    """Show the usage in quiet hours of a date.

    \b
    Example:
      greengagehoistctl report --date 2026-01-31 --customer depot --operators 10.0.0.1:8081
    """
    path = build_path("/admin/report", date=date, customer=customer)
    body = _body(asyncio.run(call_any(connection, "GET", path)))
    return body, json.dumps(body, indent=2, sort_keys=True), OK


@main.command()
@click.argument("request")
@click.argument("logs", type=click.File("r"), default="-")
def explain(request: str, logs: Any) -> None:
    """Show the events of a REQUEST, from the log lines of the daemons (file or stdin)."""
    timeline = read_timeline(logs, request)
    if not timeline.events:
        click.echo(f"{PROGRAM}: request: got {request!r}, accepted: one of the log lines", err=True)
        raise SystemExit(BAD_INPUT)
    for line in format_events(timeline.events):
        click.echo(line)
    if timeline.context:
        click.echo("events of its replicas in the same period:")
        for line in format_events(timeline.context):
            click.echo(f"  {line}")


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell.

    \b
    Example:
      greengagehoistctl completion bash > ~/.local/share/bash-completion/completions/greengagehoistctl
    """
    variable = "_" + PROGRAM.upper() + "_COMPLETE"
    click.echo(get_completion_class(shell)(main, {}, PROGRAM, variable).source())


def _body(response: Response) -> dict[str, Any]:
    match response:
        case Answered(status=200, body=body):
            return body
        case Answered(status=status, body=body):
            exit_code = BAD_INPUT if status == 400 else FAILURE
            raise CommandError(error_text(status, body), exit_code)
        case NoAnswer(reason=reason):
            raise CommandError(reason)


def _by_address(responses: dict[str, Response]) -> dict[str, Any]:
    return {
        address: item.body if isinstance(item, Answered) else {"unreachable": item.reason}
        for address, item in responses.items()
    }
