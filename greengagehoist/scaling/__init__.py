"""Growth and shrinkage of stages."""

__all__: list[str] = []
