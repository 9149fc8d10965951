"""Reads and writes the two list files."""

import re
from pathlib import Path
from typing import Any

import yaml

from greengagehoist.codec import ListFile, parse_list_files
from greengagehoist.config import Lists

PLANS_FILE = "plans.yaml"
USAGE_FILE = "usage.yaml"

_HEADER = re.compile(rb"\A# greengagehoist version ([0-9]{1,12})\r?$", re.MULTILINE)


def read_list_files(plans: Path, usage: Path) -> Lists:
    """Parse and validate both files.

    :raises ListFilesError: with all problems and their positions.
    """
    return parse_list_files(
        ListFile(str(plans), plans.read_bytes()), ListFile(str(usage), usage.read_bytes())
    )


def read_base(plans: Path, usage: Path) -> int | None:
    """Return the version in the headers of both files, None if neither has a header.

    :raises ValueError: if the files do not name the same version.
    """
    plans_base, usage_base = (_read_header(path) for path in (plans, usage))
    if plans_base != usage_base:
        raise ValueError(
            f"{plans} names version {_format_version(plans_base)}, "
            f"{usage} names {_format_version(usage_base)}"
        )
    return plans_base


def _read_header(path: Path) -> int | None:
    header = _HEADER.match(path.read_bytes())
    return int(header[1]) if header else None


def _format_version(base: int | None) -> str:
    return "none" if base is None else str(base)


def update_base(version: int, *paths: Path) -> None:
    """Replace the version in the header of each file that has one.

    :raises OSError: if a file cannot be written.
    """
    for path in paths:
        content = path.read_bytes()
        header = _HEADER.match(content)
        if header:
            path.write_bytes(
                content[: header.start(1)] + b"%d" % version + content[header.end(1) :]
            )


def write_list_files(directory: Path, lists: Lists, version: int) -> tuple[str, ...]:
    """Write both list files with ``version`` in their headers and return their paths.

    :raises OSError: if a file cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    sections = dict(lists)
    parts = {PLANS_FILE: {"holdings": sections.pop("holdings")}, USAGE_FILE: sections}
    for name, part in parts.items():
        (directory / name).write_text(f"# greengagehoist version {version}\n{_dump(part)}")
    return tuple(str(directory / name) for name in parts)


class _Dumper(yaml.SafeDumper):
    """Quotes strings that the parser would read as numbers or constants; writes no aliases."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


def _represent_text(dumper: _Dumper, data: str) -> yaml.ScalarNode:
    plain = data[:1].isalpha() and data not in ("null", "true", "false")
    return dumper.represent_scalar("tag:yaml.org,2002:str", data, style=None if plain else '"')


_Dumper.add_representer(str, _represent_text)


def _dump(part: dict[str, Any]) -> str:
    return yaml.dump(part, Dumper=_Dumper, sort_keys=False, width=100)
