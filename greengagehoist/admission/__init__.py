"""Admission and fairness."""

__all__: list[str] = []
