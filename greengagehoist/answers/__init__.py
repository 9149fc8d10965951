"""Acceptance of stage results."""

from greengagehoist.answers._accept import Stream, digest_text, digest_tokens, is_whole

__all__ = ["Stream", "digest_text", "digest_tokens", "is_whole"]
