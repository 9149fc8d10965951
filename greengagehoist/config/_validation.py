"""Validation of the lists; collects all problems instead of stopping at the first one."""

from typing import Any, NamedTuple

from greengagehoist.utils._validation import (
    ValidationError,
    check_float,
    check_int,
    check_name,
    show_value,
)

Path = tuple[str | int, ...]


class Missing:
    """Stands for the value of a required field that is absent."""

    def __repr__(self) -> str:
        return "nothing"


class Problem(NamedTuple):
    """One value outside the accepted range.

    :param path: keys and indexes that lead to the value.
    :param accepted: what would have been accepted.
    """

    path: Path
    value: Any
    accepted: str

    @property
    def field(self) -> str:
        """The path as one string, for example ``usage.crew.limits.concurrency``."""
        return format_path(self.path)

    def __str__(self) -> str:
        return f"{self.field}: got {show_value(self.value)}, accepted: {self.accepted}"


class ListsError(ValidationError):
    """Lists with one or more problems.

    :param problems: at least one problem, in document order.
    """

    def __init__(self, problems: tuple[Problem, ...]):
        first = problems[0]
        super().__init__(first.field, show_value(first.value), first.accepted)
        self.problems = problems

    def __str__(self) -> str:
        return "; ".join(str(problem) for problem in self.problems)


def format_path(path: Path) -> str:
    """Return a path as text in dotted notation with indexes in brackets."""
    text = "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return text.removeprefix(".") or "document"


class Validator:
    """Checks values and records a problem for each invalid one.

    For an invalid value, a check returns a placeholder of the right type, so that the rest of the
    document is checked as well.
    """

    def __init__(self):
        self.problems: list[Problem] = []

    def add(self, path: Path, value: Any, accepted: str) -> None:
        self.problems.append(Problem(path, value, accepted))

    def integer(self, path: Path, value: Any, low: int, high: int) -> int:
        """Check an integer in [low, high]."""
        return self._check(check_int, path, value, low, high, default=low)

    def number(self, path: Path, value: Any, low: float, high: float) -> float:
        """Check a number in [low, high]."""
        return self._check(check_float, path, value, low, high, default=low)

    def name(self, path: Path, value: Any) -> str:
        return self._check(check_name, path, value, default="invalid")

    def boolean(self, path: Path, value: Any) -> bool:
        if not isinstance(value, bool):
            self.add(path, value, "true or false")
            return False
        return value

    def sequence(self, path: Path, value: Any, min_length: int, max_length: int) -> list[Any]:
        """Check that a value is a list and that its length is in [min_length, max_length]."""
        if not isinstance(value, list | tuple) or not min_length <= len(value) <= max_length:
            self.add(path, value, f"a list of {min_length} to {max_length} items")
            return []
        return list(value)

    def names(self, path: Path, value: Any, max_length: int) -> tuple[str, ...]:
        """Check a list of distinct names."""
        items = self.sequence(path, value, 0, max_length)
        names = tuple(self.name((*path, index), item) for index, item in enumerate(items))
        for index, name in enumerate(names):
            if name in names[:index] and name != "invalid":
                self.add((*path, index), name, "a name that is not repeated")
        return names

    def mapping(self, path: Path, value: Any) -> dict[str, Any]:
        """Check a mapping with text keys."""
        if not isinstance(value, dict):
            self.add(path, value, "a mapping")
            return {}
        for key in value:
            if not isinstance(key, str):
                self.add(path, key, "text as key")
        return {key: item for key, item in value.items() if isinstance(key, str)}

    def fields(
        self, path: Path, value: Any, required: tuple[str, ...], optional: tuple[str, ...] = ()
    ) -> dict[str, Any]:
        """Check that a mapping has all required fields and no unknown ones.

        Missing fields are absent in the result.
        """
        count_before = len(self.problems)
        fields = self.mapping(path, value)
        if len(self.problems) > count_before and not fields:
            return {}
        accepted = ", ".join((*required, *optional))
        for key in fields:
            if key not in required and key not in optional:
                self.add((*path, key), fields[key], f"no such field; the fields are {accepted}")
        for key in required:
            if key not in fields:
                self.add((*path, key), Missing(), "a value, the field is required")
        return fields

    def _check(self, check: Any, path: Path, value: Any, *bounds: Any, default: Any) -> Any:
        try:
            return check("", value, *bounds)
        except ValidationError as exc:
            self.add(path, value, exc.accepted)
            return default
