"""The gRPC server of the discovery service, with credentials that can be replaced while it serves."""

from __future__ import annotations

import grpc
import grpc.aio

from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds.ads_server import AdsServer

ADS_SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
MAX_REQUEST_BYTES = 1 << 20
MAX_STREAMS_PER_CONNECTION = 128
LOOKAHEAD_BYTES = 16 << 10
KEEPALIVE_INTERVAL_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 5_000


def create_server(ads: AdsServer, address: str, reloader: CredentialsReloader | None) -> tuple[grpc.aio.Server, int]:
    """Return a server that is bound but not started, and its port.

    Args:
        ads: Handles the streams.
        address: Where to listen, as host:port.
        reloader: The credentials for TLS; None for plain text.

    Raises:
        OSError: The address can't be listened on.
    """
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
            ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
            ("grpc.so_reuseport", 0),
            ("grpc.http2.bdp_probe", 0),  # else the windows of streams that nobody reads grow
            ("grpc.http2.lookahead_bytes", LOOKAHEAD_BYTES),
            ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
        ]
    )
    handlers = {
        "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(ads.state_of_the_world),
        "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(ads.delta),
    }
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(ADS_SERVICE, handlers),))
    try:
        if reloader:
            port = server.add_secure_port(address, server_credentials(reloader))
        else:
            port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f"can't listen on {address}: {error}") from None
    if port == 0:
        raise OSError(f"can't listen on {address}")
    return server, port


def server_credentials(reloader: CredentialsReloader) -> grpc.ServerCredentials:
    """Return credentials that offer each new connection those in use then; open streams are left alone."""

    def configuration() -> grpc.ServerCertificateConfiguration:
        in_use = reloader.credentials
        return grpc.ssl_server_certificate_configuration(
            [(in_use.key, in_use.chain)], root_certificates=in_use.trusted_roots or None
        )

    def fetch_configuration() -> grpc.ServerCertificateConfiguration | None:
        return configuration() if reloader.reload() else None

    requires_client_certificate = bool(reloader.credentials.trusted_roots)
    return grpc.dynamic_ssl_server_credentials(configuration(), fetch_configuration, requires_client_certificate)
