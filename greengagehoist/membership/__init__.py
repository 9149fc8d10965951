"""Life cycles of VMs and targets."""

__all__: list[str] = []
