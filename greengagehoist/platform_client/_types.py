"""Messages and replies of the platform client."""

from typing import Any, NamedTuple


class Row(NamedTuple):
    """A table row.

    :param version: rises by one with each write.
    :param written_at: time of the write on the table's clock, in seconds.
    """

    key: str
    version: int
    value: Any
    written_at: float


class Rows(NamedTuple):
    """Rows read at the table's time ``now``, in seconds."""

    rows: tuple[Row, ...]
    now: float


class Written(NamedTuple):
    """A write that took effect.

    :param version: version of the row after the write.
    :param now: the table's time at the write, in seconds.
    """

    version: int
    now: float


class Refused(NamedTuple):
    """A conditional write that was refused because the row has another version.

    :param row: the current row, or None if there is none.
    """

    row: Row | None
    now: float


class Vm(NamedTuple):
    """An entry of the platform's VM list.

    :param role: ``entry`` or the role of a target.
    :param state: ``live`` or ``leaving``.
    :param incarnation: rises when the VM is replaced under the same name.
    """

    vm: str
    address: str
    data_centre: str
    role: str
    state: str
    incarnation: int


class ReadRow(NamedTuple):
    """Ask for one row; replied by ``Result[Rows, StepError]`` with none or one row."""

    key: str


class ReadRange(NamedTuple):
    """Ask for the rows with a prefix; replied by ``Result[Rows, StepError]``."""

    prefix: str
    after: str = ""
    limit: int = 1000


class WriteRow(NamedTuple):
    """Ask for a conditional write; replied by ``Result[Written | Refused, StepError]``.

    :param expect: version the row must have, 0 if it must not exist.
    """

    key: str
    value: Any
    expect: int


class PutObject(NamedTuple):
    """Store an object; replied by ``Result[None, StepError]``."""

    name: str
    data: bytes


class GetObject(NamedTuple):
    """Read an object; replied by ``Result[bytes | None, StepError]``, None if absent."""

    name: str


class ListObjects(NamedTuple):
    """List object names with a prefix; replied by ``Result[tuple[str, ...], StepError]``."""

    prefix: str


class ListVms(NamedTuple):
    """Ask for the VM list; replied by ``Result[tuple[Vm, ...], StepError]``."""


class FetchWeights(NamedTuple):
    """Ask for permission to load weights; replied by ``Result[bool, StepError]``."""

    model: str


class SetShare(NamedTuple):
    """Tell the size of the VM roster, by which the platform's rates are divided."""

    vms: int


class GetStoreState(NamedTuple):
    """Ask for the state of the connection to the platform; replied by :class:`StoreState`."""


class StoreState(NamedTuple):
    """State of the connection to the platform.

    :param breaker: ``closed``, ``open`` or ``probing``.
    :param age: seconds since the last call that succeeded, None if none did.
    :param waiting: calls that wait for the rate.
    :param writes_per_s: this daemon's share of the write rate.
    :param reads_per_s: this daemon's share of the read rate.
    """

    breaker: str
    age: float | None
    waiting: int
    writes_per_s: float
    reads_per_s: float
