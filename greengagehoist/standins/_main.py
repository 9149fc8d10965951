"""Command line that runs one stand-in as a process."""

import asyncio
import sys

import click

from greengagehoist.server import serve
from greengagehoist.standins._engine import build_engine
from greengagehoist.standins._platform import build_platform
from greengagehoist.standins._targets import build_pool, build_service
from greengagehoist.utils import check_address


@click.group()
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address ip:port.")
@click.pass_context
def main(ctx: click.Context, listen: str) -> None:
    """Run a stand-in of an external system for tests and demos."""
    ctx.obj = check_address("--listen", listen)


@main.command()
@click.option("--vm-lag-s", default=0.0, show_default=True, help="Lag of the VM list in seconds.")
@click.pass_obj
def platform(address: tuple[str, int], vm_lag_s: float) -> None:
    """Run the platform: table, objects, VM list, weight store."""
    _run(build_platform(vm_lag_s), address)


@main.command()
@click.argument("role")
@click.option("--work-s", default=0.005, show_default=True, help="Duration of each run in seconds.")
@click.option("--incarnation", default=1, show_default=True)
@click.pass_obj
def pool(address: tuple[str, int], role: str, work_s: float, incarnation: int) -> None:
    """Run a replica of a stage pool."""
    _run(build_pool(role, work_s, incarnation=incarnation), address)


@main.command()
@click.argument("model")
@click.option(
    "--step-s", default=0.002, show_default=True, help="Duration of one token step in seconds."
)
@click.option("--incarnation", default=1, show_default=True)
@click.option("--checks-fence", is_flag=True, help="Reject orders with a stale fencing number.")
@click.pass_obj
def engine(
    address: tuple[str, int], model: str, step_s: float, incarnation: int, checks_fence: bool
) -> None:
    """Run a model engine."""
    app = build_engine(model, step_s, incarnation=incarnation, checks_fence=checks_fence)
    _run(app, address)


@main.command()
@click.argument("name")
@click.option("--keeps-keys", is_flag=True, help="Return the first result for a repeated key.")
@click.option("--incarnation", default=1, show_default=True)
@click.pass_obj
def service(address: tuple[str, int], name: str, keeps_keys: bool, incarnation: int) -> None:
    """Run a replica of a plain service."""
    _run(build_service(name, keeps_keys=keeps_keys, incarnation=incarnation), address)


def _run(app, address: tuple[str, int]) -> None:
    async def run() -> None:
        listener = await serve(app, *address, shutdown_s=1)
        print(f"listening={listener.address}", flush=True)
        await listener.task

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        sys.exit(0)
