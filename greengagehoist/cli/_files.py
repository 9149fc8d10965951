"""Reading and writing of the two list files."""

from pathlib import Path
from typing import Any

import yaml

from greengagehoist.codec import ListFile, parse_list_files
from greengagehoist.config import Lists

PLANS_FILE = "plans.yaml"
USAGE_FILE = "usage.yaml"


def read_list_files(plans: Path, usage: Path) -> Lists:
    """Return the valid lists of both files.

    :raises ListFilesError: with all problems and their positions.
    """
    return parse_list_files(
        ListFile(str(plans), plans.read_bytes()), ListFile(str(usage), usage.read_bytes())
    )


def write_list_files(directory: Path, lists: Lists) -> tuple[str, ...]:
    """Write both list files and return their names.

    :raises OSError: if a file cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    sections = dict(lists)
    parts = {PLANS_FILE: {"holdings": sections.pop("holdings")}, USAGE_FILE: sections}
    for name, part in parts.items():
        (directory / name).write_text(_dump(part))
    return tuple(str(directory / name) for name in parts)


class _Dumper(yaml.SafeDumper):
    """Writes text that our reader takes for numbers or constants in quotes, and no aliases."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


def _represent_text(dumper: _Dumper, data: str) -> yaml.ScalarNode:
    plain = data[:1].isalpha() and data not in ("null", "true", "false")
    return dumper.represent_scalar("tag:yaml.org,2002:str", data, style=None if plain else '"')


_Dumper.add_representer(str, _represent_text)


def _dump(part: dict[str, Any]) -> str:
    return yaml.dump(part, Dumper=_Dumper, sort_keys=False, width=100)
