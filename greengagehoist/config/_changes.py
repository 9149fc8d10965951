"""Changes of the lists and their application in order of versions."""

from typing import Any, NamedTuple

from greengagehoist.config._parse import parse_entry
from greengagehoist.config._types import Config


class Change(NamedTuple):
    """Set or remove one entry of a list.

    :param section: ``holdings``, ``usage``, ``pipelines``, ``services`` or ``settings``.
    :param key: name of the entry within its section.
    :param value: plain entry as in the list files, None to remove it.
    """

    section: str
    key: str
    value: Any


def apply_changes(cfg: Config, version: int, changes: tuple[Change, ...]) -> Config:
    """Return the configuration after ``changes``.

    :param version: version of the result; must be the successor of ``cfg.version``.
    :raises ValidationError: if a change has a value outside the accepted range.
    :raises ValueError: if ``version`` is not the successor.
    """
    if version != cfg.version + 1:
        raise ValueError(f"version {version} does not follow {cfg.version}")
    sections = {name: dict(getattr(cfg, name)) for name in _SECTIONS}
    weight = cfg.attainment_weight
    for change in changes:
        if change.section == "settings":
            weight = parse_entry("settings", change.key, change.value)
        elif change.value is None:
            sections[change.section].pop(change.key, None)
        else:
            entry = parse_entry(change.section, change.key, change.value)
            sections[change.section][change.key] = entry
    return Config(version, attainment_weight=weight, **sections)


_SECTIONS = ("holdings", "usage", "pipelines", "services")
