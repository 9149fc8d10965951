"""Encoding of the configuration and the evacuations as daemons pass them on to each other."""

import msgspec

from greengagehoist.gateway.controllers._evacuations import Evacuations
from greengagehoist.platform_client import Revision, parse_revision
from greengagehoist.transfers import content_token


def encode_content(source: str, zones: frozenset[str]) -> str:
    """Return the text of a configuration and of the evacuated data centres."""
    # The configuration stays as the operator wrote it, so that changes of it are small.
    return msgspec.json.encode(sorted(zones)).decode() + "\n" + source


def decode_content(content: str) -> tuple[str, frozenset[str]]:
    """Return the configuration as the operator wrote it, and the evacuated data centres.

    :raises ValueError: if the content is malformed.
    """
    line, _, source = content.partition("\n")
    try:
        return source, frozenset(msgspec.json.decode(line, type=list[str]))
    except RecursionError as exc:
        raise ValueError("evacuations are nested too deeply") from exc


def shared_evacuations(zones: frozenset[str], table: str, proven_era: int) -> Evacuations:
    """Return the evacuations that another daemon holds.

    :param table: token of the newest state of the table that shows them.
    :param proven_era: as in :class:`HeldContent`.
    :raises ValueError: if the token is malformed.
    """
    known_era = proven_era if proven_era >= 0 else None
    return Evacuations(zones, parse_revision(table), known_era)


def deployment_token(row: Revision, content: str) -> str:
    """Return the token of a content with the configuration of a row's revision."""
    return content_token(content, row.token)


def row_of_token(token: str) -> Revision:
    """Return the revision of the configuration's row that a token names.

    :raises ValueError: if the token is malformed.
    """
    return parse_revision(token.partition("/")[0])
