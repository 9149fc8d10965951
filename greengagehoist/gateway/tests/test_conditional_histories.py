"""Guards against conditional reads that confirm, or hide, more than whole reads would.

The histories of :mod:`test_restored_histories` are played with daemons that know the state of the table.
"""

import pytest
from hypothesis import HealthCheck, given
from hypothesis import strategies as st

from greengagehoist.gateway.tests import test_restored_histories as histories
from greengagehoist.platform_client import DeploymentRead, Revision
from greengagehoist.standins._profiles import property_settings


class FeedStore(histories.ModelStore):
    """Answers with the changes since the row that a daemon has read last in this era."""

    def answer(self, known):
        held_row, since = known
        if since == self.row:
            return DeploymentRead(None, self.row)
        return super().answer(held_row)


class FeedModel(histories.Model):
    """Daemons that read conditionally from their second read on."""

    def __init__(self, seed):
        self.since = {}
        super().__init__(seed)

    def advance(self, daemon):
        before = daemon.answer
        super().advance(daemon)
        if before is not None and before.read and daemon.answer is not before:
            self.since[daemon] = before.read.row
        answer = daemon.answer
        if answer is not None and isinstance(answer.known, Revision):
            daemon.answer = answer._replace(known=(answer.known, self.since.get(daemon)))


@pytest.fixture
def feed_store(monkeypatch):
    monkeypatch.setattr(histories, "ModelStore", FeedStore)


@property_settings(150, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.integers(0, 2**32))
def test_restores_neither_confirm_nor_lose_configurations_with_a_feed(feed_store, seed):
    FeedModel(seed).run()
