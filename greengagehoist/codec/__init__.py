"""Encoding of messages and lists."""

__all__: list[str] = []
