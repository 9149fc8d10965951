"""Front ends of the gateway: clients, readiness and metrics."""

from greengagehoist.gateway.front._client import ClientSettings
from greengagehoist.gateway.front._front import GatewayFront
from greengagehoist.gateway.front._listen import listen
from greengagehoist.gateway.front._probe import ProbeFront

__all__ = ["ClientSettings", "GatewayFront", "ProbeFront", "listen"]
