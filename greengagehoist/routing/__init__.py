"""Choice of targets."""

__all__: list[str] = []
