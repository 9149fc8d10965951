"""Division of a deadline over stages."""

__all__: list[str] = []
