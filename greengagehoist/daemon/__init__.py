"""The daemon program."""

from greengagehoist.daemon._daemon import Daemon
from greengagehoist.daemon._main import main
from greengagehoist.daemon._settings import Settings, check_settings

__all__ = ["Daemon", "Settings", "check_settings", "main"]
