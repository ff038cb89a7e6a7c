"""gRPC channels and listening ports with the options that all programs share."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Final

import grpc

from tanagerturn.coordination.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tanagerturn.schema import settings_pb2

MESSAGE_LIMIT_BYTES: Final = 32 * 1024 * 1024
KEEPALIVE_MS: Final = 5000
"""Idle time in milliseconds after which a connection is probed with a ping."""

KEEPALIVE_TIMEOUT_MS: Final = 2000
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 500

COMMON_OPTIONS: Final[Sequence[tuple[str, int]]] = (
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
)
CHANNEL_OPTIONS: Final[Sequence[tuple[str, int]]] = (
    *COMMON_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.min_reconnect_backoff_ms", RECONNECT_MIN_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_MAX_MS),
)
SERVER_OPTIONS: Final[Sequence[tuple[str, int]]] = (
    *COMMON_OPTIONS,
    ("grpc.so_reuseport", 0),
)


@dataclass(frozen=True)
class TlsFiles:
    """PEM files of a process for mutual TLS."""

    certificate: str
    """Path of the process's certificate."""
    private_key: str
    """Path of the process's private key."""
    authority: str
    """Path of the CA certificate that signs the cluster's certificates."""


def tls_files(settings: settings_pb2.ProcessSettings) -> TlsFiles | None:
    """Return the TLS files in a process's settings, or None for plain TCP."""
    if not settings.HasField("tls"):
        return None
    tls = settings.tls
    return TlsFiles(tls.certificate, tls.private_key, tls.authority)


def open_channel(address: str, tls: TlsFiles | None) -> grpc.Channel:
    """Return a channel, which connects on first use.

    Args:
        address: IP address and port of the server.
        tls: TLS files, or None for plain TCP.
    """
    if tls is None:
        return grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=Path(tls.authority).read_bytes(),
        private_key=Path(tls.private_key).read_bytes(),
        certificate_chain=Path(tls.certificate).read_bytes(),
    )
    return grpc.secure_channel(address, credentials, options=CHANNEL_OPTIONS)


def listen(server: grpc.Server, address: str, tls: TlsFiles | None) -> int:
    """Add a listening port to a gRPC server and return the port number.

    Args:
        server: Server that has not started yet.
        address: IP address and port; port 0 selects a free port.
        tls: TLS files, or None for plain TCP.

    Raises:
        UnavailableError: The server can't listen on the address.
    """
    try:
        if tls is None:
            return server.add_insecure_port(address)
        pair = (Path(tls.private_key).read_bytes(), Path(tls.certificate).read_bytes())
        credentials = grpc.ssl_server_credentials(
            [pair],
            root_certificates=Path(tls.authority).read_bytes(),
            require_client_auth=True,
        )
        return server.add_secure_port(address, credentials)
    except RuntimeError as error:
        raise UnavailableError("listen", address, str(error)) from error
