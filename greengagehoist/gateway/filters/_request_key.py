"""Key of a request, computed once."""

from greengagehoist.gateway import Exchange
from greengagehoist.quarantine import request_key


def request_key_of(exchange: Exchange) -> int:
    """Return the key that all repeats of a request have, whichever ids they come with."""
    req, progress = exchange.req, exchange.progress
    if progress.request_key is None:
        caller = exchange.tenant.name if exchange.tenant is not None else ""
        progress.request_key = request_key(req.method, req.host, req.target, caller, req.body)
    return progress.request_key
