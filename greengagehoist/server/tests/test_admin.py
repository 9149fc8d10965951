"""Guards against unvalidated request bodies and routes that differ from the OpenAPI document."""

import asyncio
import json
import random
import re
from importlib.resources import files

from hypothesis import given
from hypothesis import strategies as st

from greengagehoist.controllers import Propose
from greengagehoist.server import AdminApp
from greengagehoist.server._admin_bodies import parse_proposal
from greengagehoist.standins._profiles import property_settings
from greengagehoist.utils import ValidationError

FUZZ = property_settings(300)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["section", "key", "value"]), inner, max_size=3),
    max_leaves=8,
)
BODIES = st.dictionaries(
    st.sampled_from(["base", "changes", "author", "op_id", "other"]), VALUES, max_size=4
)


def test_openapi_document_describes_every_route():
    data = files("greengagehoist.server").joinpath("openapi.json").read_text()
    described = {
        (path, method.upper())
        for path, methods in json.loads(data)["paths"].items()
        for method in methods
    }
    routes = AdminApp(None, None, random.Random(1), "credential").build().routes
    served = {(route.path, method) for route in routes for method in route.methods - {"HEAD"}}
    assert served == described


@FUZZ
@given(BODIES.map(lambda body: json.dumps(body).encode()) | st.binary(max_size=60))
def test_any_body_gives_a_proposal_or_an_error_that_names_a_field(data):
    try:
        assert isinstance(parse_proposal(data, random.Random(1)), Propose)
    except ValidationError as exc:
        assert re.match(r"body|base|author|op_id|changes", exc.field)


def test_invalid_body_gives_400_and_the_field():
    assert asyncio.run(post(b'{"base": -1}')) == (400, "base")
    assert asyncio.run(post(b"[" * 100_000)) == (400, "body")
    assert asyncio.run(post(b" " * (9 * 1024 * 1024))) == (400, "body")
    assert asyncio.run(post(b"{}", credential="wrong")) == (401, None)


async def post(body: bytes, credential: str = "credential"):
    """Send a proposal to the application without a socket."""
    app = AdminApp(None, None, random.Random(1), "credential").build()
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/admin/config",
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {credential}".encode())],
    }
    await app(scope, receive, send)
    error = json.loads(sent[1]["body"])["error"]
    return sent[0]["status"], error.get("field")
