"""Options, output and exit codes shared by the commands."""

import functools
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from greengagehoist.cli._client import Connection
from greengagehoist.codec import ListFilesError
from greengagehoist.utils import ValidationError, check_address

PROGRAM = "greengagehoistctl"
OK, FAILURE, BAD_INPUT, CONFLICT, UNKNOWN = range(5)

EXIT_CODES = """\b
Exit codes: 0 ok, 1 failure, 2 bad input, 3 conflict with another operator, 4 outcome unknown."""


class CommandError(Exception):
    """Ends a command with a message.

    :param exit_code: exit code of the program.
    """

    def __init__(self, message: str, exit_code: int = FAILURE):
        super().__init__(message)
        self.exit_code = exit_code


def _check_operators(ctx: Any, param: Any, value: tuple[str, ...]) -> tuple[str, ...]:
    try:
        for address in value:
            check_address("--operators", address)
    except ValidationError as exc:
        raise click.BadParameter(str(exc)) from exc
    return value


def _check_credential(ctx: Any, param: Any, value: str) -> str:
    if not (value and value.isascii() and value.isprintable()):
        raise click.BadParameter("got (hidden), accepted: printable ASCII characters")
    return value


def connected(command: Callable) -> Callable:
    """Add the options of commands that call daemons; the command receives a ``Connection``."""

    @click.option(
        "--operators",
        multiple=True,
        required=True,
        envvar="GREENGAGEHOIST_OPERATORS",
        show_envvar=True,
        callback=_check_operators,
        help="ip:port of a daemon's operator interface; repeatable.",
    )
    @click.option(
        "--credential",
        required=True,
        envvar="GREENGAGEHOIST_OPERATOR_CREDENTIAL",
        show_envvar=True,
        callback=_check_credential,
        help="Operators' credential; prefer the environment, as process lists show flags.",
    )
    @click.option(
        "--tls-authority",
        default=None,
        envvar="GREENGAGEHOIST_TLS_AUTHORITY",
        show_envvar=True,
        type=click.Path(exists=True, dir_okay=False),
        help="PEM file of the daemons' certificate authority; plain HTTP if absent.",
    )
    @functools.wraps(command)
    def wrapped(
        operators: tuple[str, ...], credential: str, tls_authority: str | None, **options: Any
    ) -> Any:
        return command(Connection(operators, credential, tls_authority or ""), **options)

    return wrapped


def printed(command: Callable) -> Callable:
    """Add ``--output``, print what the command returns, and turn errors into exit codes.

    The command returns the object for JSON output, the text for table output, and the exit code.
    """

    @click.option(
        "--output", type=click.Choice(["table", "json"]), default="table", show_default=True
    )
    @functools.wraps(command)
    def wrapped(output: str, **options: Any) -> None:
        try:
            value, text, exit_code = command(**options)
        except CommandError as exc:
            click.echo(f"{PROGRAM}: {exc}", err=True)
            sys.exit(exc.exit_code)
        except ListFilesError as exc:
            click.echo(str(exc), err=True)
            sys.exit(BAD_INPUT)
        shown = json.dumps(value, indent=2, sort_keys=True) if output == "json" else text
        click.echo(shown)
        sys.exit(exit_code)

    return wrapped


def with_list_files(command: Callable) -> Callable:
    """Add the arguments PLANS and USAGE, both paths of existing files."""
    path = click.Path(exists=True, dir_okay=False, path_type=Path)
    return click.argument("plans", type=path)(click.argument("usage", type=path)(command))
