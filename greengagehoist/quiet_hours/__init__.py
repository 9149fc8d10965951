"""Quiet hours in local time."""

__all__: list[str] = []
