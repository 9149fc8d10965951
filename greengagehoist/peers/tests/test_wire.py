"""Guards against a configuration snapshot that exceeds the frame size limit."""

import hashlib

from greengagehoist.config import Log, build_config, lists_to_dict, parse_snapshot, take_snapshot
from greengagehoist.peers import ConfigPush
from greengagehoist.peers._wire import PEER_CODEC

ORGANISATIONS = 12_000


def large_document():
    """Return a configuration with the largest supported number of organisations."""
    limits = {"requests_per_minute": 60, "tokens_per_minute": 6000, "concurrency": 4}
    stages = [{"name": name, "role": name} for name in ("encoder", "retriever", "reranker")]
    stages.append({"name": "engine", "role": "engine", "model": "summary"})
    holdings = {
        f"organisation-{number:05d}": {
            "plan": "crew",
            "credential_sha256": hashlib.sha256(str(number).encode()).hexdigest(),
        }
        for number in range(ORGANISATIONS)
    }
    usage = {"pipelines": ["letters"], "deadline_ms": 10_000, "limits": limits}
    return {
        "holdings": holdings,
        "usage": {"crew": usage},
        "pipelines": {"letters": {"stages": stages}},
    }


def test_snapshot_of_the_largest_configuration_fits_one_frame():
    cfg = build_config(large_document(), 7)
    snapshot = take_snapshot(Log()._replace(cfg=cfg))
    frame = PEER_CODEC.encode(ConfigPush(7, {"snapshot": snapshot._asdict()}))
    received = PEER_CODEC.decode(frame)
    decoded = parse_snapshot(received.value["snapshot"])
    assert received.version == 7
    assert decoded == snapshot
    assert len(lists_to_dict(cfg)["holdings"]) == ORGANISATIONS
