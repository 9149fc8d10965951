"""Guards against decision packages that import I/O, encodings or the clock."""

import ast
from pathlib import Path

import pytest

from greengagehoist.tests.parsing import parse_module

ROOT = Path(__file__).parent.parent
DECISION_PACKAGES = (
    "base",
    "deployment",
    "replicas",
    "pieces",
    "config",
    "quarantine",
    "quiet_hours",
    "quota",
    "claims",
    "answers",
    "deadlines",
    "admission",
    "retries",
    "routing",
    "membership",
    "orders",
    "scaling",
    "shutdown",
    "tracing",
)
ALLOWED_OWN = {*DECISION_PACKAGES, "utils._validation"}
FORBIDDEN = {
    "aiosonic",
    "asyncio",
    "cbor2",
    "click",
    "json",
    "loguru",
    "msgspec",
    "os",
    "socket",
    "starlette",
    "statsd",
    "subprocess",
    "threading",
    "time",
    "uvicorn",
    "websockets",
    "yaml",
}


def imported_modules(path: Path) -> set[str]:
    """Return the names of all modules that a file imports."""
    found = set()
    for node in ast.walk(parse_module(path)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
    return found


def violations(path: Path) -> list[str]:
    """Return the forbidden imports of a module of a decision package."""
    bad = []
    for module in imported_modules(path):
        if module.split(".")[0] in FORBIDDEN:
            bad.append(module)
        elif module.startswith("greengagehoist."):
            rest = module.removeprefix("greengagehoist.")
            if rest not in ALLOWED_OWN and rest.split(".")[0] not in DECISION_PACKAGES:
                bad.append(module)
    return bad


@pytest.mark.parametrize("package", DECISION_PACKAGES)
def test_decision_package_is_pure(package):
    modules = sorted((ROOT / package).glob("*.py"))
    assert modules
    assert {path.name: bad for path in modules if (bad := violations(path))} == {}


def test_rule_finds_a_forbidden_import(tmp_path):
    module = tmp_path / "_bad.py"
    module.write_text("import asyncio\nfrom greengagehoist.targets import Send\n")
    assert sorted(violations(module)) == ["asyncio", "greengagehoist.targets"]


def product_modules():
    """Return the modules that must not contain names of the platform."""
    for path in sorted(ROOT.rglob("*.py")):
        parts = path.relative_to(ROOT).parts
        if parts[0] not in ("platform", "standins") and "tests" not in parts:
            yield path


def test_only_the_gateway_program_imports_the_adapter():
    users = {
        str(path.relative_to(ROOT))
        for path in product_modules()
        if any(
            name == "greengagehoist.platform" or name.startswith("greengagehoist.platform.")
            for name in imported_modules(path)
        )
    }
    assert users == {"daemon/gateway.py"}


@pytest.mark.parametrize("name", ["X-Greengagehoist-", "/greengagehoist/", "rows-get", "stage-run"])
def test_wire_names_stay_in_the_adapter(name):
    assert [str(path) for path in product_modules() if name in path.read_text()] == []
