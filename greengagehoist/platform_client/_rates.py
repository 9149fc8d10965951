"""Rate limits of the platform and this daemon's share of them."""

WRITES_PER_S = 400.0
READS_PER_S = 1600.0


def share(total: float, vms: int) -> float:
    """Return the rate of one daemon; a roster without VMs counts as one VM."""
    return total / max(1, vms)
