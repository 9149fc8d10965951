"""Log of accepted versions at one daemon: order, integrity and recent history."""

from typing import Any, NamedTuple

from greengagehoist.config._changes import Change, apply_changes, build_config
from greengagehoist.config._serialization import Lists, lists_to_dict
from greengagehoist.config._types import EMPTY_CONFIG, Config
from greengagehoist.utils._validation import ValidationError, check_int, check_text

RECENT_VERSIONS = 200
RECENT_OPERATIONS = 1000
MAX_PENDING = 256
MAX_CHANGES = 100_000
SNAPSHOT_INTERVAL_VERSIONS = 100
MAX_AUTHOR_CHARS = 200
MAX_OP_ID_CHARS = 64
MAX_VERSION = 10**12 - 1


class Version(NamedTuple):
    """One accepted version.

    :param op_id: identifier of the operation that proposed it.
    :param digest: digest of the lists after the changes.
    """

    version: int
    op_id: str
    author: str
    changes: tuple[Change, ...]
    digest: str


class Snapshot(NamedTuple):
    """Complete lists of one version.

    :param operations: versions made by recent operations, by operation id.
    """

    version: int
    digest: str
    lists: Lists
    operations: dict[str, int]


class Log(NamedTuple):
    """Accepted versions known to a daemon.

    :param cfg: current configuration.
    :param recent: most recent versions in order; the last one is current.
    :param pending: versions that arrived before their predecessors.
    :param operations: versions made by recent operations, by operation id.
    """

    cfg: Config = EMPTY_CONFIG
    recent: tuple[Version, ...] = ()
    pending: tuple[Version, ...] = ()
    operations: dict[str, int] = {}


class ApplyResult(NamedTuple):
    """Result of applying versions or a snapshot.

    :param applied: versions that were applied, in order.
    :param faults: versions that could not be applied, with the reason.
    """

    log: Log
    applied: tuple[Version, ...]
    faults: tuple[tuple[int, str], ...]


def version_to_dict(version: Version) -> dict[str, Any]:
    """Return the content of the table row of a version."""
    return {
        "op_id": version.op_id,
        "author": version.author,
        "changes": [list(change) for change in version.changes],
        "digest": version.digest,
    }


def parse_version(version: Any, value: Any) -> Version:
    """Parse the content of a table row.

    :raises ValidationError: naming the first invalid field.
    """
    number = check_int("version", version, 1, MAX_VERSION)
    if not isinstance(value, dict):
        raise ValidationError("row", type(value).__name__, "a mapping")
    op_id = check_text("op_id", value.get("op_id"), MAX_OP_ID_CHARS)
    author = check_text("author", value.get("author"), MAX_AUTHOR_CHARS)
    digest = check_text("digest", value.get("digest"), 64)
    return Version(number, op_id, author, parse_changes(value.get("changes")), digest)


def parse_changes(value: Any) -> tuple[Change, ...]:
    """Parse a list of changes; the entries themselves are checked when they are applied.

    :raises ValidationError: naming the first invalid change.
    """
    accepted = f"a list of 1 to {MAX_CHANGES} changes [section, key, value]"
    if not isinstance(value, list | tuple) or not 1 <= len(value) <= MAX_CHANGES:
        raise ValidationError("changes", type(value).__name__, accepted)
    changes, seen = [], set()
    for index, item in enumerate(value):
        field = f"changes[{index}]"
        if not isinstance(item, list | tuple) or len(item) != 3:
            raise ValidationError(field, type(item).__name__, "[section, key, value]")
        section, key = (check_text(field, part, 64) for part in item[:2])
        if (section, key) in seen:
            raise ValidationError(field, f"{section}.{key}", "each entry at most once")
        seen.add((section, key))
        changes.append(Change(section, key, item[2]))
    return tuple(changes)


def make_version(
    cfg: Config, op_id: str, author: str, changes: tuple[Change, ...]
) -> tuple[Version, Config]:
    """Return the successor of ``cfg`` as a version and as a configuration.

    :raises ListsError: if the changes do not result in valid lists.
    """
    result = apply_changes(cfg, cfg.version + 1, changes)
    return Version(result.version, op_id, author, changes, result.digest), result


def apply_versions(log: Log, versions: tuple[Version, ...]) -> ApplyResult:
    """Apply all versions that follow the current one without a gap; keep later ones as pending.

    Version n+1 is applied only on top of n, so a daemon never reverts to an earlier version and
    applies each version once.
    """
    current = log.cfg.version
    pending_by_version = {
        item.version: item for item in (*log.pending, *versions) if item.version > current
    }
    applied, faults = [], []
    while (following := log.cfg.version + 1) in pending_by_version:
        item = pending_by_version.pop(following)
        try:
            log = _apply_version(log, item)
        except ValidationError as exc:
            faults.append((following, str(exc)))
            break
        applied.append(item)
    kept = sorted(pending_by_version)[:MAX_PENDING]
    return ApplyResult(
        log._replace(pending=tuple(pending_by_version[number] for number in kept)),
        tuple(applied),
        tuple(faults),
    )


def _apply_version(log: Log, item: Version) -> Log:
    cfg = apply_changes(log.cfg, item.version, item.changes)
    if cfg.digest != item.digest:
        raise ValidationError("digest", item.digest, f"digest of the lists, {cfg.digest}")
    operations = {**log.operations, item.op_id: item.version}
    for op_id in list(operations)[: max(0, len(operations) - RECENT_OPERATIONS)]:
        del operations[op_id]
    recent = (*log.recent, item)[-RECENT_VERSIONS:]
    return log._replace(cfg=cfg, recent=recent, operations=operations)


def take_snapshot(log: Log) -> Snapshot:
    """Return the current lists as a snapshot."""
    lists = lists_to_dict(log.cfg)
    return Snapshot(log.cfg.version, log.cfg.digest, lists, dict(log.operations))


def apply_snapshot(log: Log, snapshot: Snapshot) -> ApplyResult:
    """Replace the current lists by a snapshot if it is newer.

    :returns: with a fault if the snapshot is invalid or does not match its digest.
    """
    if snapshot.version <= log.cfg.version:
        return ApplyResult(log, (), ())
    try:
        cfg = build_config(snapshot.lists, snapshot.version)
        if cfg.digest != snapshot.digest:
            raise ValidationError("digest", snapshot.digest, f"digest of the lists, {cfg.digest}")
    except ValidationError as exc:
        return ApplyResult(log, (), ((snapshot.version, str(exc)),))
    return apply_versions(Log(cfg, (), log.pending, dict(snapshot.operations)), ())


def parse_snapshot(value: Any) -> Snapshot:
    """Parse a snapshot; its lists are checked when it is applied.

    :raises ValidationError: naming the first invalid field.
    """
    if not isinstance(value, dict):
        raise ValidationError("snapshot", type(value).__name__, "a mapping")
    version = check_int("version", value.get("version"), 1, MAX_VERSION)
    digest = check_text("digest", value.get("digest"), 64)
    operations = value.get("operations")
    if not isinstance(operations, dict) or len(operations) > RECENT_OPERATIONS:
        raise ValidationError("operations", type(operations).__name__, "a mapping")
    for op_id, number in operations.items():
        check_text("operations", op_id, MAX_OP_ID_CHARS)
        check_int("operations", number, 1, version)
    return Snapshot(version, digest, value.get("lists"), operations)


def versions_after(log: Log, after: int) -> tuple[Version, ...] | None:
    """Return the versions after ``after``, or None if the log no longer holds all of them."""
    if after >= log.cfg.version:
        return ()
    if not log.recent or log.recent[0].version > after + 1:
        return None
    return tuple(item for item in log.recent if item.version > after)
