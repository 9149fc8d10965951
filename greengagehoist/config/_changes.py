"""Changes to the lists: application in version order, and the difference of two lists."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from greengagehoist.config._parse import SECTIONS, parse_entry
from greengagehoist.config._serialization import (
    Lists,
    digest_lists,
    entry_to_builtins,
    format_digest,
    hash_entry,
    lists_to_dict,
    settings_to_dict,
)
from greengagehoist.config._types import DEFAULT_ATTAINMENT_WEIGHT, EMPTY_CONFIG, Config
from greengagehoist.config._validation import ListsError, Problem, Validator

_ENTRY_SECTIONS = SECTIONS[:-1]


class Change(NamedTuple):
    """Set or remove one entry of a list.

    :param section: ``holdings``, ``usage``, ``pipelines``, ``services`` or ``settings``.
    :param key: name of the entry within its section.
    :param value: entry as in the list files, None to remove it.
    """

    section: str
    key: str
    value: Any


def apply_changes(cfg: Config, version: int, changes: Iterable[Change]) -> Config:
    """Return the configuration after ``changes``.

    :param version: version of the result; must be the successor of ``cfg.version``.
    :raises ListsError: with all problems, if the resulting lists are invalid.
    :raises ValueError: if ``version`` is not the successor.
    """
    if version != cfg.version + 1:
        raise ValueError(f"version {version} is not the successor of version {cfg.version}")
    validator = Validator()
    changes = tuple(changes)
    result = _apply(validator, cfg, changes)
    if not validator.problems:
        check_references(validator, result)
    if validator.problems:
        raise ListsError(tuple(validator.problems))
    changed_keys = {(change.section, change.key) for change in changes}
    total = int(cfg.digest, 16) - _sum_hashes(cfg, changed_keys) + _sum_hashes(result, changed_keys)
    return result._replace(version=version, digest=format_digest(total))


def _apply(validator: Validator, cfg: Config, changes: tuple[Change, ...]) -> Config:
    sections = {name: getattr(cfg, name) for name in _ENTRY_SECTIONS}
    for name in {change.section for change in changes} & set(_ENTRY_SECTIONS):
        sections[name] = dict(sections[name])
    weight = cfg.attainment_weight
    for change in changes:
        if change.value is None and change.section in _ENTRY_SECTIONS:
            if sections[change.section].pop(change.key, None) is None:
                validator.add((change.section, change.key), change.key, "an entry that exists")
        elif change.value is None and change[:2] == ("settings", "attainment_weight"):
            weight = DEFAULT_ATTAINMENT_WEIGHT
        else:
            entry = parse_entry(validator, change.section, change.key, change.value)
            if change.section == "settings":
                weight = entry
            elif change.section in sections:
                sections[change.section][change.key] = entry
    return Config(cfg.version, attainment_weight=weight, digest=cfg.digest, **sections)


def check_references(validator: Validator, cfg: Config) -> None:
    """Record each reference to an undefined name and each credential that customers share."""
    owners: dict[str, str] = {}
    for customer, holding in cfg.holdings.items():
        path = ("holdings", customer)
        if holding.plan not in cfg.usage:
            validator.add((*path, "plan"), holding.plan, "a plan that is defined in usage")
        owner = owners.setdefault(holding.credential_sha256, customer)
        if owner != customer:
            accepted = f"a credential of its own; {owner} has the same"
            validator.add((*path, "credential_sha256"), holding.credential_sha256, accepted)
    for plan, usage in cfg.usage.items():
        for section in ("pipelines", "services"):
            for index, name in enumerate(getattr(usage, section)):
                if name not in getattr(cfg, section):
                    accepted = f"a name that is defined in {section}"
                    validator.add(("usage", plan, section, index), name, accepted)


def _sum_hashes(cfg: Config, changed_keys: set[tuple[str, str]]) -> int:
    settings = settings_to_dict(cfg)
    total = 0
    for section, key in changed_keys:
        entries = settings if section == "settings" else getattr(cfg, section)
        if key in entries:
            total += hash_entry(section, key, entry_to_builtins(entries[key]))
    return total


def parse_lists(document: Any) -> tuple[Config, tuple[Problem, ...]]:
    """Parse both lists from one document.

    :returns: the configuration with version 0 (empty if there are problems), and the problems.
    """
    validator = Validator()
    given = validator.fields((), document, ("holdings", "usage"), SECTIONS[2:])
    entries: dict[str, dict[str, Any]] = {name: {} for name in SECTIONS}
    for section in SECTIONS:
        for key, value in validator.mapping((section,), given.get(section, {})).items():
            entries[section][key] = parse_entry(validator, section, key, value)
    weight = entries.pop("settings").get("attainment_weight", DEFAULT_ATTAINMENT_WEIGHT)
    cfg = Config(0, attainment_weight=weight, **entries)
    if not validator.problems:
        check_references(validator, cfg)
    if validator.problems:
        return EMPTY_CONFIG, tuple(validator.problems)
    return cfg._replace(digest=digest_lists(cfg)), ()


def validate_lists(document: Any) -> tuple[Problem, ...]:
    """Return all problems of a document with both lists, empty if it is valid."""
    return parse_lists(document)[1]


def build_config(document: Any, version: int = 0) -> Config:
    """Return the configuration that a document with both lists describes.

    :raises ListsError: with all problems.
    """
    cfg, problems = parse_lists(document)
    if problems:
        raise ListsError(problems)
    return cfg._replace(version=version)


def diff_lists(old: Config, new: Config) -> tuple[Change, ...]:
    """Return the changes that turn the lists of ``old`` into those of ``new``."""
    before, after = lists_to_dict(old), lists_to_dict(new)
    changes = []
    for section in SECTIONS:
        changes += _diff_section(section, before, after)
    return tuple(changes)


def _diff_section(section: str, before: Lists, after: Lists) -> list[Change]:
    old, new = before[section], after[section]
    keys = sorted({*old, *new})
    return [Change(section, key, new.get(key)) for key in keys if old.get(key) != new.get(key)]
