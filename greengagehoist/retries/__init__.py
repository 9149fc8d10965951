"""Retry classes and budgets."""

__all__: list[str] = []
