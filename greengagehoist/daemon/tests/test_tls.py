"""Guards against TLS listeners and links that accept plaintext or an untrusted certificate."""

import asyncio
import json
import random
import ssl

import aiosonic
import pytest
import trustme
from aiosonic.exceptions import AiosonicError
from click.testing import CliRunner

from greengagehoist.cli import main as ctl
from greengagehoist.daemon import Settings, check_settings
from greengagehoist.membership import Member
from greengagehoist.peers import GetPeers, PeerController
from greengagehoist.standins import OPERATOR_CREDENTIAL
from greengagehoist.utils import SystemClock, TlsFiles, ValidationError, client_context

WAIT_S = 10.0
# Long enough for the daemon with an untrusted certificate to dial several times.
DIALS_S = 2.0


def write_files(folder, name, authority):
    """Issue a certificate and return the paths of its files."""
    issued = authority.issue_cert("daemon.greengagehoist.invalid")
    files = TlsFiles(*(str(folder / f"{name}-{part}.pem") for part in TlsFiles._fields))
    issued.cert_chain_pems[0].write_to_path(files.certificate)
    issued.private_key_pem.write_to_path(files.key)
    authority.cert_pem.write_to_path(files.authority)
    return files


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """Return TLS files of two daemons of one certificate authority and a third of another."""
    folder, authority = tmp_path_factory.mktemp("tls"), trustme.CA()
    own = [write_files(folder, f"own{number}", authority) for number in range(2)]
    return [*own, write_files(folder, "foreign", trustme.CA())]


def test_links_require_the_same_authority(files):
    async def scenario():
        controllers = []
        for number, tls in enumerate(files):
            own = Member(f"vm{number}", "dc1", "127.0.0.1:0", 1)
            seeds = tuple(item.own.address for item in controllers)
            rng = random.Random(number)
            controller = PeerController(own, seeds, "c" * 16, SystemClock(), rng, tls=tls)
            controller.listen()
            controllers.append(controller)
        tasks = [asyncio.create_task(item.run()) for item in controllers]
        async with asyncio.timeout(WAIT_S):
            while not await controllers[0].ask(GetPeers()):
                await asyncio.sleep(0.02)
        await asyncio.sleep(DIALS_S)
        linked = [{peer.vm for peer in await item.ask(GetPeers())} for item in controllers]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return linked

    assert asyncio.run(scenario()) == [{"vm1"}, {"vm0"}, set()]


def test_operators_interface_serves_tls_only(group, files):
    platform = group.start_standin("platform", "platform").addresses["listening"]
    flags = []
    for name, path in files[0]._asdict().items():
        flags += [f"--tls-{name}", path]
    daemon = group.start_daemon("entry-0", "dc1", platform, *flags)
    address = daemon.addresses["operators"]

    async def get(scheme, authority):
        context = client_context(TlsFiles(authority=authority)) if authority else None
        url = f"{scheme}://{address}/healthz"
        response = await aiosonic.HTTPClient().request(url, "GET", ssl=context)
        return await response.json()

    assert asyncio.run(get("https", files[0].authority)) == {"healthy": True}
    with pytest.raises((ssl.SSLError, OSError, AiosonicError, EOFError)):
        asyncio.run(get("https", files[2].authority))
    with pytest.raises((OSError, AiosonicError, EOFError, ValueError)):
        asyncio.run(get("http", ""))
    arguments = ["status", "--operators", address, "--credential", OPERATOR_CREDENTIAL]
    arguments += ["--tls-authority", files[0].authority, "--output", "json"]
    result = CliRunner().invoke(ctl, arguments)
    assert result.exit_code == 0, result.output
    assert "entry-0" in json.dumps(json.loads(result.output))


@pytest.mark.parametrize("missing", TlsFiles._fields)
def test_incomplete_tls_files_are_rejected(files, missing):
    given = files[0]._replace(**{missing: ""})
    with pytest.raises(ValidationError) as caught:
        check_settings(settings_with(given))
    assert caught.value.field == f"--tls-{missing}"


def settings_with(tls):
    addresses = ("127.0.0.1:0",) * 4
    return Settings("entry-0", "dc1", *addresses, (), "o" * 16, "p" * 16, "", "INFO", 0.0, *tls)


def test_key_of_another_certificate_is_rejected(files):
    with pytest.raises(ValidationError):
        check_settings(settings_with(files[0]._replace(key=files[1].key)))
