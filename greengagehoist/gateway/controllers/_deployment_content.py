"""Encoding of the configuration and the evacuations as daemons pass them on to each other."""

import msgspec

from greengagehoist.gateway.controllers._evacuations import Evacuations
from greengagehoist.platform_client import Revision, parse_revision
from greengagehoist.transfers import content_token


class _Header(msgspec.Struct):
    zones: tuple[str, ...]
    proven_era: int | None


def encode_content(source: str, evacuations: Evacuations) -> str:
    """Return the text of a configuration and of the evacuations."""
    header = _Header(tuple(sorted(evacuations.zones)), evacuations.proven_era)
    # The configuration stays as the operator wrote it, so that changes of it are small.
    return msgspec.json.encode(header).decode() + "\n" + source


def decode_content(content: str, table: str) -> tuple[str, Evacuations]:
    """Return the configuration as the operator wrote it, and the evacuations.

    :param table: token of the newest state of the table that shows the evacuations.
    :raises ValueError: if the content is malformed.
    """
    line, _, source = content.partition("\n")
    header = msgspec.json.decode(line, type=_Header)
    return source, Evacuations(frozenset(header.zones), parse_revision(table), header.proven_era)


def deployment_token(row: Revision, content: str) -> str:
    """Return the token of a content with the configuration of a row's revision."""
    return content_token(content, row.token)


def row_of_token(token: str) -> Revision:
    """Return the revision of the configuration's row that a token names.

    :raises ValueError: if the token is malformed.
    """
    return parse_revision(token.partition("/")[0])
