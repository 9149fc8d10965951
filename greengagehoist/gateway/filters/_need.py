"""What a request needs of a replica."""

from greengagehoist.gateway import Exchange, Prompt
from greengagehoist.gateway.controllers import TimedSend
from greengagehoist.replicas import (
    Affinity,
    AnyReplica,
    PlainWork,
    PromptAffinity,
    PromptWork,
)


def affinity_of(prompt: Prompt | None, zone: str = "") -> Affinity:
    """Return the affinity to the replicas that hold the last shared part of the prompt.

    :param zone: data centre of the stage results that the request reads, empty for any.
    """
    if prompt is None or len(prompt.parts) < 2:
        return AnyReplica()
    return PromptAffinity(prompt.parts[-2].part_id, zone)


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of the parts that other requests may share."""
    return sum(part.tokens for part in prompt.parts[:-1])


def timed_send(exchange: Exchange, ticket: int) -> TimedSend:
    """Return what a request needs of a replica, for the choice by expected time.

    :param ticket: identifies the request until its end, 0 if it is not sent now.
    """
    prompt = exchange.req.prompt
    if prompt is None:
        return TimedSend(ticket, PlainWork())
    tokens = max(prompt.tokens_in, sum(part.tokens for part in prompt.parts))
    return TimedSend(ticket, PromptWork(tokens, shared_tokens(prompt), prompt.tokens_out))
