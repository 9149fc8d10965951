"""Orders to engines."""

__all__: list[str] = []
