"""Settings of the entry daemon, read from flags and environment variables."""

from typing import NamedTuple

from greengagehoist.shutdown import DEFAULT_GRACE_S, answer_time
from greengagehoist.utils import (
    TlsFiles,
    ValidationError,
    check_address,
    check_float,
    check_name,
    check_text,
    check_tls,
)

MIN_CREDENTIAL_LENGTH = 16
MAX_DRAIN_DELAY_S = 300.0
MIN_GRACE_S = 1.0
MAX_GRACE_S = 3600.0
DEFAULT_MEMORY_MB = 256.0
MIN_MEMORY_MB = 64.0
MAX_MEMORY_MB = 1_000_000.0


class Settings(NamedTuple):
    """Settings of one entry daemon; addresses are ``ip:port``.

    :param tls_certificate: path of this daemon's certificate; set all three TLS files or none.
    :param drain_delay: seconds between failing readiness and refusing new requests.
    :param grace: seconds between the signal to stop and the platform's SIGKILL.
    :param memory: memory of the VM for this process, in MB.
    """

    vm: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    platform: str
    seeds: tuple[str, ...]
    operator_credential: str
    peer_credential: str
    statsd: str
    log_level: str
    drain_delay: float = 2.0
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""
    grace: float = DEFAULT_GRACE_S
    memory: float = DEFAULT_MEMORY_MB

    @property
    def tls(self) -> TlsFiles:
        """TLS files of all listeners and of the links between daemons."""
        return TlsFiles(self.tls_certificate, self.tls_key, self.tls_authority)


def check_settings(settings: Settings) -> Settings:
    """Return the settings unchanged if all are valid.

    :raises ValidationError: naming the first invalid setting, its value and the accepted values.
    """
    check_name("--vm", settings.vm)
    check_name("--data-centre", settings.data_centre)
    for flag in ("callers", "operators", "peers", "platform"):
        check_address(f"--{flag}", getattr(settings, flag))
    for seed in settings.seeds:
        check_address("--seed", seed)
    if settings.statsd:
        check_address("--statsd", settings.statsd)
    for flag in ("operator_credential", "peer_credential"):
        name = "--" + flag.replace("_", "-")
        if len(check_text(name, getattr(settings, flag), 512)) < MIN_CREDENTIAL_LENGTH:
            raise ValidationError(name, "(hidden)", f"at least {MIN_CREDENTIAL_LENGTH} characters")
    check_float("--drain-delay", settings.drain_delay, 0.0, MAX_DRAIN_DELAY_S)
    check_float("--grace", settings.grace, MIN_GRACE_S, MAX_GRACE_S)
    check_float("--memory", settings.memory, MIN_MEMORY_MB, MAX_MEMORY_MB)
    longest = answer_time(settings.grace)
    if settings.drain_delay >= longest:
        accepted = f"less than the {longest:g} s that --grace {settings.grace:g} has for answers"
        raise ValidationError("--drain-delay", settings.drain_delay, accepted)
    check_tls(settings.tls)
    return settings
