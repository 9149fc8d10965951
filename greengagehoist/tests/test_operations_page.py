"""Guards against undocumented settings, commands, list fields, metrics and log events."""

import ast
import re
from pathlib import Path

import click
import pytest
import yaml

from greengagehoist.cli import main as ctl
from greengagehoist.config._parse import DAYS, SECTIONS, parse_entry
from greengagehoist.config._validation import Validator
from greengagehoist.daemon import main as daemon
from greengagehoist.tests.parsing import parse_module

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
METRIC_CALLS = ("incr", "timing")


class RecordingValidator(Validator):
    """Records the fields that the parser accepts."""

    def __init__(self):
        super().__init__()
        self.found_fields: set[str] = set()

    def fields(self, path, value, required, optional=()):
        self.found_fields.update(required, optional)
        return super().fields(path, value, required, optional)


def list_fields():
    """Return the sections and fields of the example lists, which use every kind of entry."""
    validator = RecordingValidator()
    for name in ("plans", "usage"):
        text = (ROOT / "examples" / "lists" / "gully" / f"{name}.yaml").read_text()
        for section, entries in yaml.load(text, yaml.BaseLoader).items():
            for key, value in entries.items():
                parse_entry(validator, section, key, value)
                if section == "settings":
                    validator.found_fields.add(key)
    return validator.found_fields | set(SECTIONS) | set(DAYS)


def flags():
    """Return flags and environment variables of the daemon and flags of the commands."""
    options = [item for item in daemon.params if isinstance(item, click.Option)]
    found = {f"GREENGAGEHOIST_{item.name.upper()}" for item in options}
    for command in ctl.commands.values():
        options += [item for item in command.params if isinstance(item, click.Option)]
        found |= {item.envvar for item in command.params if item.envvar}
    return found | {flag for item in options for flag in item.opts}


def read_modules():
    """Return the syntax trees of the daemon's modules."""
    found = {}
    for path in sorted((ROOT / "greengagehoist").rglob("*.py")):
        if not {"tests", "standins"} & set(path.parts[len(ROOT.parts) :]):
            found[path] = parse_module(path)
    return found


def resolve(tree, node):
    """Return the text of a literal, f-string or module constant, None for other expressions."""
    match node:
        case ast.Constant(value=str(text)):
            return text
        case ast.JoinedStr(values=values):
            return "".join(
                part.value if isinstance(part, ast.Constant) else f"<{ast.unparse(part.value)}>"
                for part in values
            )
        case ast.Name(id=name):
            for item in tree.body:
                if isinstance(item, ast.Assign) and ast.unparse(item.targets[0]) == name:
                    return resolve(tree, item.value)
    return None


def called(name_of, wanted):
    """Return the first arguments of calls to functions with one of the wanted names, by place."""
    found = {}
    for path, tree in read_modules().items():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and name_of(node.func) in wanted and node.args:
                found[f"{path.name}:{node.lineno}"] = resolve(tree, node.args[0])
    return found


def log_events():
    """Return the names of the events that the daemon logs, by place."""
    found = called(lambda func: getattr(func, "id", ""), ("log_event",))
    # EventLimiter passes on the names that its callers give to its method "log".
    found = {place: name for place, name in found.items() if not place.startswith("_logging.py:")}
    found |= called(ast.unparse, ("self._log.log",))
    attributes = called(lambda func: getattr(func, "attr", ""), ("error", "exception"))
    for place, text in attributes.items():
        if text and (event := re.match(r"event=([a-z_]+)", text)):
            found[place] = event[1]
    return found


def metrics():
    """Return the names of the metrics that the daemon sends, by place."""
    found = called(lambda func: getattr(func, "attr", ""), METRIC_CALLS)
    return {place: text and f"greengagehoist.{text}" for place, text in found.items()}


@pytest.mark.parametrize(
    "names, min_count",
    [
        (list_fields(), 30),
        (flags(), 30),
        ({f"greengagehoistctl {name}" for name in ctl.commands}, 9),
        (set(log_events().values()), 30),
        (set(metrics().values()), 3),
    ],
    ids=["fields", "flags", "commands", "events", "metrics"],
)
def test_page_contains_all_names(names, min_count):
    assert None not in names, (log_events(), metrics())
    assert len(names) >= min_count
    missing = {
        name for name in names if not re.search(rf"(?<![\w.-]){re.escape(name)}(?![\w.-])", PAGE)
    }
    assert not missing


def test_section_of_the_lists_names_each_field():
    """A field that occurs only in an example is not documented."""
    section = PAGE.partition("## The two lists")[2].partition("\n## ")[0]
    assert list_fields() <= set(re.findall(r"`([^`\n]+)`", section))


def test_page_names_no_removed_event():
    table = PAGE.partition("## Log events")[2].partition("\n## ")[0]
    assert set(re.findall(r"^\| `([a-z_]+)` \|", table, re.MULTILINE)) == set(log_events().values())
