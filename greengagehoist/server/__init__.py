"""HTTP APIs for callers and operators."""

from greengagehoist.server._admin import AdminApp, AdminParts
from greengagehoist.server._callers import CallerApp
from greengagehoist.server._gate import DrainGate
from greengagehoist.server._memory import MemoryGate
from greengagehoist.server._serve import Listener, serve

__all__ = ["AdminApp", "AdminParts", "CallerApp", "DrainGate", "Listener", "MemoryGate", "serve"]
