"""Plan of who sends how much of a configuration to whom, by arithmetic and without network.

Sizes come from encoded configurations, periods and limits from the code. Times are upper bounds: each
period at its longest, each transfer at the rate of the narrower link.
"""

import math
from typing import NamedTuple

import msgspec

from greengagehoist.gateway.controllers._shared_reads import (
    PERIOD_JITTER,
    QUERY_PERIOD_FRACTION,
    READER_PERIOD_FRACTION,
)
from greengagehoist.membership._peer_selection import FULL_MESH_MAX_VMS, HUBS_PER_DATA_CENTRE
from greengagehoist.transfers import encode_change, encode_whole
from greengagehoist.transfers._slots import MAX_TRANSFERS

BITS = 8
# Head and JSON frame of a response of the store, and frame and fields of a message between daemons.
RESPONSE_BYTES = 400
MESSAGE_BYTES = 250
BASE64_RATIO = 4 / 3
ROUND_TRIP_S = 0.01


class Site(NamedTuple):
    """A deployment.

    :param period_s: usual period of reads.
    :param narrow_mbit: narrowest link in Mbit/s.
    :param hub_mbit: link of the hubs, which are the largest VMs.
    """

    daemons: int
    zones: int
    period_s: float = 1.8
    narrow_mbit: float = 5.0
    hub_mbit: float = 100.0

    @property
    def has_hubs(self) -> bool:
        """Whether hubs read the store for the others."""
        return self.daemons > FULL_MESH_MAX_VMS

    @property
    def followers(self) -> int:
        """Daemons of one data centre that ask its hubs."""
        return math.ceil(self.daemons / self.zones) - HUBS_PER_DATA_CENTRE if self.has_hubs else 0

    @property
    def readers(self) -> int:
        """Daemons that read the store."""
        return self.zones if self.has_hubs else self.daemons


class Sizes(NamedTuple):
    """Bytes of a configuration and of the change that led to it.

    :param row: response of the store with the whole row.
    """

    row: int
    whole: int
    change: int


class Plan(NamedTuple):
    """What a site moves.

    :param calm_store_bytes_s: bytes a second that the store sends while nothing changes.
    :param calm_link_bytes_s: the same on the link of one follower, or of one reader without hubs.
    :param change_store_bytes: bytes that the store sends for one change.
    :param change_hub_bytes: bytes that one hub sends for one change.
    :param change_link_bytes: bytes that one daemon receives for one change.
    :param in_force_s: longest time from the acknowledgement until all daemons hold the change.
    """

    calm_store_bytes_s: float
    calm_link_bytes_s: float
    change_store_bytes: float
    change_hub_bytes: float
    change_link_bytes: float
    in_force_s: float


def measure(before: dict, after: dict) -> Sizes:
    """Return the sizes of a change from one configuration to another."""
    old, new = msgspec.json.encode(before).decode(), msgspec.json.encode(after).decode()
    row = int(len(new) * BASE64_RATIO) + RESPONSE_BYTES
    return Sizes(row, len(encode_whole(new)), len(encode_change(old, new)))


def seconds(size: float, mbit: float) -> float:
    """Return the time of a transfer."""
    return size * BITS / (mbit * 1e6)


def plan(site: Site, sizes: Sizes) -> Plan:
    """Return the plan with conditional reads, and changes between daemons."""
    slowest = 1.0 + PERIOD_JITTER
    if not site.has_hubs:
        reads_s = site.daemons / site.period_s
        in_force_s = site.period_s * slowest + seconds(sizes.row, site.narrow_mbit) + ROUND_TRIP_S
        calm_link = RESPONSE_BYTES / site.period_s
        return Plan(
            reads_s * RESPONSE_BYTES, calm_link, sizes.row * site.daemons, 0, sizes.row, in_force_s
        )
    sent = min(sizes.change, sizes.whole) + MESSAGE_BYTES
    read_s = site.period_s * READER_PERIOD_FRACTION * slowest
    query_s = site.period_s * QUERY_PERIOD_FRACTION * slowest
    # Both hubs of a data centre send, and the second one gets the change first.
    per_hub = math.ceil(site.followers / HUBS_PER_DATA_CENTRE)
    waves = math.ceil(per_hub / MAX_TRANSFERS)
    by_links = waves * seconds(sent, site.narrow_mbit)
    by_hub = seconds(per_hub * sent, site.hub_mbit)
    arrival_s = seconds(sizes.row, site.hub_mbit) + max(by_links, by_hub) + 4 * ROUND_TRIP_S
    reads_s = site.readers / (site.period_s * READER_PERIOD_FRACTION)
    calm_link = 2 * MESSAGE_BYTES / (site.period_s * QUERY_PERIOD_FRACTION)
    return Plan(
        reads_s * RESPONSE_BYTES,
        calm_link,
        sizes.row * site.readers,
        per_hub * sent,
        sent,
        read_s + query_s + arrival_s,
    )


def plan_of_whole_reads(site: Site, sizes: Sizes) -> Plan:
    """Return the plan in which each read moves the whole row, and each change the whole content."""
    usual = plan(site, sizes._replace(change=sizes.row, whole=sizes.row))
    fraction = READER_PERIOD_FRACTION if site.has_hubs else 1.0
    reads_s = site.readers / (site.period_s * fraction)
    return usual._replace(calm_store_bytes_s=reads_s * sizes.row)
