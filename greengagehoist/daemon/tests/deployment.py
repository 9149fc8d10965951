"""Helpers of the tests that run daemons and stand-ins as processes."""

import asyncio
import json

from greengagehoist.standins import OPERATOR_CREDENTIAL, STAGES, credential_of, run_pipeline

WAIT_S = 30.0
VM_FIELDS = ("vm", "address", "role", "data_centre", "state", "incarnation")


async def http(address, method, path, body=None, credential=OPERATOR_CREDENTIAL):
    """Send one request on a new connection and return the status and the body as text."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    data = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {credential}\r\n"
    head += f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n"
    writer.write(head.encode() + data)
    async with asyncio.timeout(WAIT_S):
        raw = await reader.read()
    writer.close()
    head, _, text = raw.decode().partition("\r\n\r\n")
    return int(head.split()[1]), text


async def wait_until(check):
    """Poll the coroutine function ``check`` until it returns a true value, and return the value."""
    async with asyncio.timeout(WAIT_S):
        while not (result := await check()):
            await asyncio.sleep(0.05)
        return result


async def generate(address, stream):
    body = {"input": "gully 9", "max_tokens": 40, "stream": stream}
    path = "/v1/pipelines/round-summary"
    return await http(address, "POST", path, body, credential_of("depot"))


def is_complete(text, stream):
    expected = run_pipeline(list(STAGES), "gully 9", 40)
    if not stream:
        return json.loads(text).get("output") == expected
    return "event: end" in text and expected.split()[-1] in text


def list_vms(vms):
    """Return a list of live VMs from the name, address and role of each."""
    return [dict(zip(VM_FIELDS, (*vm, "dc1", "live", 1), strict=True)) for vm in vms]


async def wait_until_serving(daemon):
    """Wait until a daemon is ready and answers a request."""

    async def ready():
        return (await http(daemon.addresses["operators"], "GET", "/readyz"))[0] == 200

    async def answers():
        return (await generate(daemon.addresses["callers"], False))[0] == 200

    await wait_until(ready)
    await wait_until(answers)
