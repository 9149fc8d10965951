"""Links between daemons."""

__all__: list[str] = []
