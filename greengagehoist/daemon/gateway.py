"""Program of the gateway daemon."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

import click
import uvloop

from greengagehoist.daemon._gateway import GatewayDaemon
from greengagehoist.gateway import GatewaySettings
from greengagehoist.platform import (
    READY_PATH,
    SETTINGS_VARIABLE,
    PlatformWireFormat,
    StoreCodec,
    read_settings,
)
from greengagehoist.utils import SystemClock, ValidationError, log_event, setup_logging

BAD_SETTINGS = 2
# Period of the check whether the settings file has changed.
WATCH_PERIOD_S = 1.0


@click.command()
@click.option("--metrics-port", default=9464, show_default=True, help="Port of the metrics.")
@click.option(
    "--log-level",
    default="INFO",
    show_default=True,
    type=click.Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
)
def main(metrics_port: int, log_level: str) -> None:
    """Run the gateway of this VM; an environment variable names the settings file."""
    try:
        settings = load_settings()
    except (ValidationError, OSError) as exc:
        click.echo(f"greengagehoist gateway: {exc}", err=True)
        sys.exit(BAD_SETTINGS)
    setup_logging(log_level, stream=sys.stdout, vm=settings.vm)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(settings, metrics_port))
    except OSError as exc:
        click.echo(f"greengagehoist gateway: cannot listen: {exc}", err=True)
        sys.exit(BAD_SETTINGS)


def load_settings() -> GatewaySettings:
    """Read the settings file.

    :raises ValidationError: naming the first invalid field.
    :raises OSError: if the file cannot be read.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise ValidationError(SETTINGS_VARIABLE, path, "the path of a settings file")
    return read_settings(Path(path).read_text())


async def _run(settings: GatewaySettings, metrics_port: int) -> None:
    daemon = GatewayDaemon(
        settings,
        StoreCodec(),
        PlatformWireFormat(),
        READY_PATH,
        metrics_port,
        SystemClock(),
        random.SystemRandom(),
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, daemon)
    log_event("started", vm=settings.vm, data_centre=settings.data_centre)
    await daemon.start()
    watcher = loop.create_task(_watch_settings(daemon))
    await stop_requested.wait()
    watcher.cancel()
    await daemon.stop()


async def _watch_settings(daemon: GatewayDaemon) -> None:
    """Reload the settings file when it changes, also without a signal."""
    last_modified_at = _modified_at()
    while True:
        await daemon.clock.sleep(WATCH_PERIOD_S)
        modified_at = _modified_at()
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            reload_settings(daemon)


def _modified_at() -> int:
    try:
        return os.stat(os.environ.get(SETTINGS_VARIABLE, "")).st_mtime_ns
    except OSError as exc:
        log_event("settings_rejected", "ERROR", reason=str(exc))
        return 0


def reload_settings(daemon: GatewayDaemon) -> None:
    """Reload the settings file; an invalid file leaves the settings unchanged."""
    try:
        settings = load_settings()
    except (ValidationError, OSError) as exc:
        log_event("settings_rejected", "ERROR", reason=str(exc))
        return
    log_event("settings_reloaded", changed=settings != daemon.settings)
    daemon.apply_settings(settings)


if __name__ == "__main__":
    main()
