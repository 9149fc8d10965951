"""Deterministic outputs of the stage stand-ins, so that callers can compute the expected result."""

import hashlib


def run_stage(role: str, text: str) -> str:
    """Return the output of a pool stage for ``text``."""
    return f"{role}({digest(text)[:12]}):{text[:200]}"


def generate_tokens(model: str, text: str, max_tokens: int) -> tuple[str, ...]:
    """Return the 4 to 63 tokens that ``model`` generates for ``text``, cut to ``max_tokens``."""
    seed = digest(f"{model}:{text}")
    length = min(max_tokens, 4 + int(seed[:4], 16) % 60)
    return tuple(digest(f"{seed}:{index}")[:6] for index in range(length))


def digest(text: str) -> str:
    """Return the lower-case hex SHA-256 of ``text``."""
    return hashlib.sha256(text.encode()).hexdigest()


def token_digest(tokens: tuple[str, ...] | list[str]) -> str:
    """Return the digest that is sent in the last line of a token stream."""
    return digest(" ".join(tokens))


def run_pipeline(stages: list[tuple[str, str]], text: str, max_tokens: int) -> str:
    """Return the output of the last stage of a pipeline.

    :param stages: pairs of role and model; the model is empty for pool stages.
    """
    for role, model in stages:
        text = (
            " ".join(generate_tokens(model, text, max_tokens)) if model else run_stage(role, text)
        )
    return text
