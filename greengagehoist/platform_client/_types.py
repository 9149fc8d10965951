"""Messages and replies of the platform client."""

from typing import Any, NamedTuple

from greengagehoist.deployment import Deployment
from greengagehoist.replicas import Replica


class Revision(NamedTuple):
    """State of the platform's table, or of one row in it; a later state compares greater.

    Versions of different eras say nothing about each other: a table that is restored from a copy
    gives out again the versions that it had given out since the copy was made.

    :param era: incremented each time that the table is restored from a copy; 0 for tables without
        eras.
    :param version: version within the era, 0 if there is no such row.
    """

    era: int = 0
    version: int = 0

    @property
    def token(self) -> str:
        """The revision as a short text."""
        return f"{self.era}.{self.version}"


def parse_revision(token: str) -> Revision:
    """Return the revision of a token.

    :raises ValueError: if the token is malformed.
    """
    era, _, version = token.partition(".")
    return Revision(int(era), int(version))


class Row(NamedTuple):
    """A table row.

    :param version: incremented by each write.
    :param written_at: time of the write on the table's clock, in seconds.
    :param era: era of the table in which the row was read.
    """

    key: str
    version: int
    value: Any
    written_at: float
    era: int = 0


class Rows(NamedTuple):
    """Rows that were read.

    :param now: time of the read on the table's clock, in seconds.
    :param era: era of the table in which they were read.
    """

    rows: tuple[Row, ...]
    now: float
    era: int = 0


class Written(NamedTuple):
    """A conditional write that was applied.

    :param version: version of the row after the write.
    :param now: time of the write on the table's clock, in seconds.
    """

    version: int
    now: float


class Refused(NamedTuple):
    """A conditional write that was refused because the row has another version.

    :param row: the current row, or None if there is none.
    :param now: time of the refusal on the table's clock, in seconds.
    """

    row: Row | None
    now: float


class Vm(NamedTuple):
    """An entry of the platform's VM list.

    :param role: ``entry`` or the role of a target.
    :param state: ``live`` or ``leaving``.
    :param incarnation: incremented when the VM is replaced under the same name.
    """

    vm: str
    address: str
    data_centre: str
    role: str
    state: str
    incarnation: int


class ReadRow(NamedTuple):
    """Ask for one row; replied by ``Result[Rows, StepError]`` with at most one row."""

    key: str


class ReadRange(NamedTuple):
    """Ask for the rows whose key starts with ``prefix``; replied by ``Result[Rows, StepError]``.

    :param after: only rows with a greater key are returned.
    """

    prefix: str
    after: str = ""
    limit: int = 1000


class WriteRow(NamedTuple):
    """Ask for a conditional write; replied by ``Result[Written | Refused, StepError]``.

    :param expect: version the row must have, 0 if it must not exist.
    :param era: era of the table in which that was read; in another one the write is not sent.
    """

    key: str
    value: Any
    expect: int
    era: int = 0


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
    """Ask for permission to load a model's weights; replied by ``Result[bool, StepError]``."""

    model: str


class TableState(NamedTuple):
    """What the platform's table of configurations showed in one read.

    :param table: revision of the table at the read.
    :param row: revision of the configuration's row, with version 0 if there is none.
    :param evacuated: data centres that the operator has evacuated.
    """

    table: Revision
    row: Revision
    evacuated: frozenset[str] = frozenset()


class ReadDeployment(NamedTuple):
    """Ask for the operator's configuration and evacuations.

    Replied by ``Result[DeploymentRead | HistoryGone, StepError]``.

    :param known_row: revision of the row whose content is held; the same revision is not decoded
        again.
    :param since: state of the table since which only changes are read, None to read all.
    :param after: key of the last row of the previous page, empty for the first page of all.
    """

    known_row: Revision = Revision()
    since: TableState | None = None
    after: str = ""


class DeploymentRead(NamedTuple):
    """The operator's configuration and evacuations.

    :param deployment: None if there is none yet or the row still has the revision ``known_row``.
    :param row: revision of the row, with version 0 if there is none.
    :param source: the configuration as the operator wrote it, empty if ``deployment`` is None.
    :param state: what the table showed, None if that is not known.
    :param last: key to continue after, empty if this is the last page.
    """

    deployment: Deployment | None
    row: Revision
    source: str = ""
    state: TableState | None = None
    last: str = ""


class HistoryGone(NamedTuple):
    """The platform cannot tell what has changed since a state of the table; it must be read whole.

    :param reason: why.
    """

    reason: str


class ListReplicas(NamedTuple):
    """Ask for a page of the list of replicas; replied by ``Result[ReplicaPage, StepError]``.

    :param after: id of the last replica of the previous page, empty for the first page.
    """

    after: str = ""


class ReplicaPage(NamedTuple):
    """A page of the list of replicas.

    :param unreadable: keys of the entries that could not be decoded or describe no usable replica.
    :param last: id to continue after, empty if this is the last page.
    :param era: era of the table in which the page was read.
    :param odd_cold: keys of the entries whose cold period is no time; they count as without one.
    """

    replicas: tuple[Replica, ...]
    unreadable: tuple[str, ...]
    last: str
    era: int = 0
    odd_cold: tuple[str, ...] = ()


class DeleteRow(NamedTuple):
    """Ask for a conditional delete; replied by ``Result[Written | Refused, StepError]``.

    :param expect: version that the row must have.
    :param era: era of the table in which that was read; in another one the delete is not sent.
    """

    key: str
    expect: int
    era: int = 0


class EraChanged(NamedTuple):
    """Tell followers that the table was restored from a copy: later writes may be gone."""

    era: int


class SetVmCount(NamedTuple):
    """Set the number of VMs in the roster, by which the platform's rate limits are divided."""

    vms: int
