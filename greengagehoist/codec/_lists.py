"""Parser of the two list files in YAML that operators edit; reports problems with positions."""

import re
from typing import Any, NamedTuple

import yaml

from greengagehoist.config import Lists, Path, Problem, validate_lists
from greengagehoist.utils import ValidationError, show_value

PLANS_SECTIONS = ("holdings",)
USAGE_SECTIONS = ("usage", "pipelines", "services", "settings")
MAX_FILE_BYTES = 8 * 1024 * 1024
MAX_NESTING = 12
MAX_EVENTS = 500_000

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_INTEGER = re.compile(r"[-+]?[0-9]{1,18}")
_NUMBER = re.compile(r"[-+]?(?:[0-9]{1,18}\.[0-9]{0,18}|\.[0-9]{1,18})(?:[eE][-+]?[0-9]{1,3})?")
_CONSTANTS = {"": None, "~": None, "null": None, "true": True, "false": False}
_CORE_TAGS = ("tag:yaml.org,2002:map", "tag:yaml.org,2002:seq")


class Position(NamedTuple):
    """Position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class LocatedProblem(NamedTuple):
    """A problem and the position of the value that causes it."""

    position: Position
    problem: Problem

    def __str__(self) -> str:
        problem = self.problem
        got = show_value(problem.value)
        return f"{self.position}: {problem.field}: got {got}, accepted {problem.accepted}"


class ListFilesError(ValidationError):
    """List files with one or more problems.

    :param problems: at least one problem, in file order.
    """

    def __init__(self, problems: tuple[LocatedProblem, ...]):
        problem = problems[0].problem
        super().__init__(problem.field, problem.value, problem.accepted)
        self.problems = problems

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.problems)


class ListFile(NamedTuple):
    """Name and content of a list file."""

    name: str
    content: bytes


class _Parsed(NamedTuple):
    document: dict[str, Any]
    positions: dict[Path, Position]


def parse_list_files(plans: ListFile, usage: ListFile) -> Lists:
    """Parse both list files into one document.

    :raises ListFilesError: with all problems of both files, but only the first one of a file that
        is not well-formed.
    """
    problems: list[LocatedProblem] = []
    document: dict[str, Any] = {}
    positions: dict[Path, Position] = {(): Position(plans.name, 1, 1)}
    for file, sections in ((plans, PLANS_SECTIONS), (usage, USAGE_SECTIONS)):
        try:
            parsed = _parse_file(file, sections)
        except ListFilesError as exc:
            problems += exc.problems
            continue
        document |= parsed.document
        positions |= parsed.positions
    if not problems:
        problems = [_locate(problem, positions) for problem in validate_lists(document)]
        order = (plans.name, usage.name)
        problems.sort(key=lambda item: (order.index(item.position.file), item.position[1:]))
    if problems:
        raise ListFilesError(tuple(problems))
    return {section: document.get(section, {}) for section in (*PLANS_SECTIONS, *USAGE_SECTIONS)}


def _locate(problem: Problem, positions: dict[Path, Position]) -> LocatedProblem:
    path = problem.path
    while path not in positions:
        path = path[:-1]
    return LocatedProblem(positions[path], problem)


def _parse_file(file: ListFile, sections: tuple[str, ...]) -> _Parsed:
    if len(file.content) > MAX_FILE_BYTES:
        raise _error(
            file.name, None, (), len(file.content), f"a file of up to {MAX_FILE_BYTES} bytes"
        )
    try:
        text = file.content.decode("utf-8")
    except UnicodeDecodeError as exc:
        raise _error(file.name, None, (), exc.reason, "UTF-8 text") from exc
    try:
        _check_events(file.name, text)
        node = yaml.compose(text, Loader=_Loader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        raise _error(file.name, mark, (), _error_text(exc), "well-formed YAML") from exc
    positions: dict[Path, Position] = {}
    document = {} if node is None else _convert(file.name, node, (), positions)
    if not isinstance(document, dict):
        raise _error(file.name, None, (), document, "a mapping")
    for section in document:
        if section not in sections:
            accepted = f"no such section; the sections of this file are {', '.join(sections)}"
            problem = Problem((section,), section, accepted)
            raise ListFilesError((LocatedProblem(positions[(section,)], problem),))
    return _Parsed(document, positions)


def _error_text(exc: yaml.YAMLError) -> str:
    return str(getattr(exc, "problem", None) or getattr(exc, "reason", None) or "unreadable text")


def _check_events(name: str, text: str) -> None:
    """Reject anchors, aliases, deep nesting and large documents before any node is built."""
    depth = 0
    for count, event in enumerate(yaml.parse(text, Loader=_Loader)):
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise _error(name, event.start_mark, (), event.anchor, "no anchors and no aliases")
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_NESTING:
            raise _error(name, event.start_mark, (), depth, f"nesting up to {MAX_NESTING}")
        if count > MAX_EVENTS:
            raise _error(name, event.start_mark, (), count, f"up to {MAX_EVENTS} YAML events")


def _convert(name: str, node: yaml.Node, path: Path, positions: dict[Path, Position]) -> Any:
    positions.setdefault(path, _position(name, node.start_mark))
    match node:
        case yaml.MappingNode() if node.tag in _CORE_TAGS:
            result: dict[Any, Any] = {}
            for key_node, value_node in node.value:
                key = _convert_key(name, key_node, path)
                if key in result:
                    raise _error(name, key_node.start_mark, (*path, key), key, "each key once")
                positions[(*path, key)] = _position(name, key_node.start_mark)
                result[key] = _convert(name, value_node, (*path, key), positions)
            return result
        case yaml.SequenceNode() if node.tag in _CORE_TAGS:
            return [
                _convert(name, item, (*path, index), positions)
                for index, item in enumerate(node.value)
            ]
        case yaml.ScalarNode():
            return _convert_scalar(name, node, path)
        case _:
            raise _error(name, node.start_mark, path, node.tag, "no tags")


def _convert_key(name: str, node: yaml.Node, path: Path) -> str:
    if not isinstance(node, yaml.ScalarNode):
        raise _error(name, node.start_mark, path, "a collection as key", "text as key")
    return node.value


def _convert_scalar(name: str, node: yaml.ScalarNode, path: Path) -> Any:
    """Convert a scalar by the YAML 1.2 core schema, where 22:30 is a string and not 1350."""
    if node.tag.startswith("!"):
        raise _error(name, node.start_mark, path, node.tag, "no tags")
    text = node.value
    if node.style:
        return text
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER.fullmatch(text):
        return int(text)
    return float(text) if _NUMBER.fullmatch(text) else text


def _position(name: str, mark: Any) -> Position:
    return Position(name, mark.line + 1, mark.column + 1) if mark else Position(name, 1, 1)


def _error(name: str, mark: Any, path: Path, value: Any, accepted: str) -> ListFilesError:
    return ListFilesError((LocatedProblem(_position(name, mark), Problem(path, value, accepted)),))
