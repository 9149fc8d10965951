"""TLS contexts built from PEM files."""

import ssl
from pathlib import Path
from typing import NamedTuple

from greengagehoist.utils._validation import ValidationError


class TlsFiles(NamedTuple):
    """Paths of PEM files; all empty without TLS.

    :param authority: certificate of the private CA that signed the certificates of all daemons.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


def check_tls(files: TlsFiles) -> TlsFiles:
    """Return the paths if all or none are given and the certificate matches its key.

    :raises ValidationError: otherwise.
    """
    if not any(files):
        return files
    for name, path in files._asdict().items():
        if not path or not Path(path).is_file():
            accepted = "a readable PEM file; all three TLS files are given, or none"
            raise ValidationError(f"--tls-{name}", path, accepted)
    try:
        server_context(files, require_client=True)
    except (ssl.SSLError, OSError) as exc:
        accepted = "a certificate, its key and the authority, in PEM form"
        raise ValidationError("--tls-certificate", files.certificate, accepted) from exc
    return files


def server_context(files: TlsFiles, *, require_client: bool) -> ssl.SSLContext | None:
    """Return a context for a listener, None without TLS.

    :param require_client: accept only clients whose certificate the CA has signed.
    :raises ssl.SSLError: if a file is invalid or the certificate does not match its key.
    """
    if not any(files):
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(files.certificate, files.key)
    if require_client:
        context.load_verify_locations(files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext | None:
    """Return a client context for calls to daemons, None without a CA certificate.

    The CA is private and signs only certificates of daemons. Daemons are addressed by IP, which
    changes with every replacement, so certificates carry no address and the host name is not
    checked.

    :raises ssl.SSLError: if a file is invalid or the certificate does not match its key.
    """
    if not files.authority:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False
    context.load_verify_locations(files.authority)
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key)
    return context
