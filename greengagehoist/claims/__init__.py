"""Idempotency claims."""

__all__: list[str] = []
