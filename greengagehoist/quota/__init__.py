"""Plan limits shared between daemons."""

__all__: list[str] = []
