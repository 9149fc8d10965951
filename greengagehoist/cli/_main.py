"""Program ``greengagehoistctl``."""

import click


@click.group(context_settings={"auto_envvar_prefix": "GREENGAGEHOIST"})
def main() -> None:
    """Operate greengagehoist: edit the lists, see the state of all VMs."""
