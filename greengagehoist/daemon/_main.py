"""Program ``greengagehoistd``."""

import asyncio
import random
import signal
import sys

import click

from greengagehoist.daemon._daemon import Daemon
from greengagehoist.daemon._settings import DEFAULT_MEMORY_MB, Settings, check_settings
from greengagehoist.shutdown import DEFAULT_GRACE_S
from greengagehoist.utils import SystemClock, ValidationError, setup_logging

BAD_SETTINGS = 2


@click.command(context_settings={"auto_envvar_prefix": "GREENGAGEHOIST"})
@click.option("--vm", required=True, help="Name of this VM.")
@click.option("--data-centre", required=True, help="Data centre of this VM.")
@click.option(
    "--callers",
    default="127.0.0.1:8080",
    show_default=True,
    help="ip:port to listen on for callers.",
)
@click.option(
    "--operators",
    default="127.0.0.1:8081",
    show_default=True,
    help="ip:port to listen on for operators.",
)
@click.option(
    "--peers", default="127.0.0.1:8082", show_default=True, help="ip:port to listen on for peers."
)
@click.option("--platform", required=True, help="ip:port of the platform.")
@click.option(
    "--seed", "seeds", multiple=True, help="ip:port of a peer to contact first; repeatable."
)
@click.option(
    "--operator-credential", required=True, help="Credential that operators must present."
)
@click.option("--peer-credential", required=True, help="Credential shared by all daemons.")
@click.option("--statsd", default="", help="ip:port of statsd; no metrics if empty.")
@click.option(
    "--drain-delay",
    default=2.0,
    show_default=True,
    help="Seconds between failing readiness and refusing requests, for the load balancer to react.",
)
@click.option(
    "--grace",
    default=DEFAULT_GRACE_S,
    show_default=True,
    help="Seconds between the signal to stop and the platform's SIGKILL.",
)
@click.option(
    "--memory",
    default=DEFAULT_MEMORY_MB,
    show_default=True,
    help="Memory of the VM for this process, in MB.",
)
@click.option("--tls-certificate", default="", help="PEM file; plain connections if empty.")
@click.option("--tls-key", default="", help="PEM file of the certificate's key.")
@click.option(
    "--tls-authority", default="", help="PEM file of the certificate authority of all daemons."
)
@click.option(
    "--log-level",
    default="INFO",
    show_default=True,
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
)
def main(**options) -> None:
    """Run the entry daemon of this VM."""
    try:
        settings = check_settings(Settings(**options))
    except ValidationError as exc:
        click.echo(f"greengagehoistd: {exc}", err=True)
        sys.exit(BAD_SETTINGS)
    setup_logging(settings.log_level, vm=settings.vm)
    try:
        asyncio.run(_run(settings))
    except OSError as exc:
        click.echo(f"greengagehoistd: cannot listen: {exc}", err=True)
        sys.exit(BAD_SETTINGS)


async def _run(settings: Settings) -> None:
    daemon = Daemon(settings, SystemClock(), random.SystemRandom())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    # A closed terminal or a supervisor's order to reload must not cut the requests in flight.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await daemon.start()
    waiters = [loop.create_task(stop_requested.wait()), loop.create_task(daemon.wait_stopped())]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    await daemon.stop()
