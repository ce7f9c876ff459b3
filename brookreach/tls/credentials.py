"""A certificate chain, its key and the trusted roots, verified as a whole. No I/O."""

from __future__ import annotations

import datetime as dt
from dataclasses import dataclass
from itertools import pairwise

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from brookreach.tls.errors import InvalidCredentialsError

MAX_PEM_BYTES = 1 << 20
SECONDS_PER_DAY = 86_400.0
TIME_FORMAT = "%Y-%m-%d %H:%M"


@dataclass(frozen=True)
class Credentials:
    """Verified credentials in PEM. Their representation leaves the key out, so that it can be logged.

    Attributes:
        chain: The certificate and those that issued it, in order.
        key: The certificate's private key.
        trusted_roots: Verify the certificates of peers; empty where peers need none.
        serial: The certificate's serial number in hex.
        names: The DNS names and addresses that the certificate is valid for.
        expires_at: When the first certificate of the chain expires.
    """

    chain: bytes
    key: bytes
    trusted_roots: bytes
    serial: str
    names: tuple[str, ...]
    expires_at: dt.datetime

    def __repr__(self) -> str:
        expiry = format(self.expires_at, TIME_FORMAT)
        return f"Credentials(serial {self.serial}, names {', '.join(self.names)}, expires {expiry})"

    def days_left(self, now: dt.datetime) -> float:
        """Return the days until they expire."""
        return (self.expires_at - now).total_seconds() / SECONDS_PER_DAY


def verify_credentials(chain: bytes, key: bytes, trusted_roots: bytes, now: dt.datetime, name: str = "") -> Credentials:
    """Return the credentials if they fit together and are valid at a time.

    Args:
        chain: PEM certificates, each issued by the next.
        key: The first certificate's, in PEM without a password.
        trusted_roots: PEM certificates; empty: none.
        now: The time.
        name: A name that the certificate has to be valid for; empty for any.

    Raises:
        InvalidCredentialsError: One of them can't be read, is expired or doesn't fit the others.
    """
    for kind, pem in (("certificate", chain), ("key", key), ("trusted", trusted_roots)):
        if len(pem) > MAX_PEM_BYTES:
            raise InvalidCredentialsError(f"{kind}: over {MAX_PEM_BYTES} bytes")
    certificates = _load_certificates("certificate", chain)
    certificate = certificates[0]
    _check_key(certificate, _load_key(key))
    _check_validity(certificate, now)
    names = _subject_names(certificate)
    if name and not any(_matches(pattern, name) for pattern in names):
        raise InvalidCredentialsError(f"it is for {', '.join(names) or 'no name'}, not for {name}")
    if trusted_roots:
        _load_certificates("trusted", trusted_roots)
    _check_chain(certificates)
    expires_at = min(member.not_valid_after_utc for member in certificates)
    return Credentials(chain, key, trusted_roots, f"{certificate.serial_number:x}", names, expires_at)


def _load_certificates(kind: str, pem: bytes) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise InvalidCredentialsError(f"{kind}: no PEM certificate can be read") from None


def _load_key(pem: bytes) -> PrivateKeyTypes:
    try:
        return load_pem_private_key(pem, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):  # the cause is left out: it may quote the key
        raise InvalidCredentialsError("key: no unencrypted PEM key can be read") from None


def _check_key(certificate: x509.Certificate, key: PrivateKeyTypes) -> None:
    encoding = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if certificate.public_key().public_bytes(*encoding) != key.public_key().public_bytes(*encoding):
        raise InvalidCredentialsError("the key is not the certificate's: one of the files is of another pair")


def _check_validity(certificate: x509.Certificate, now: dt.datetime) -> None:
    if now < certificate.not_valid_before_utc:
        raise InvalidCredentialsError(f"not valid before {certificate.not_valid_before_utc:{TIME_FORMAT}} UTC")
    if now >= certificate.not_valid_after_utc:
        raise InvalidCredentialsError(f"expired at {certificate.not_valid_after_utc:{TIME_FORMAT}} UTC")


def _check_chain(certificates: list[x509.Certificate]) -> None:
    for certificate, issuer in pairwise(certificates):
        try:
            certificate.verify_directly_issued_by(issuer)
        except (ValueError, TypeError, InvalidSignature):
            raise InvalidCredentialsError("the chain is broken: a certificate is not issued by the next one") from None


def _subject_names(certificate: x509.Certificate) -> tuple[str, ...]:
    """Return the DNS names and addresses of the subject's alternative names."""
    try:
        alternatives = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    addresses = (str(address) for address in alternatives.get_values_for_type(x509.IPAddress))
    return (*alternatives.get_values_for_type(x509.DNSName), *addresses)


def _matches(pattern: str, name: str) -> bool:
    """Return whether a certificate's name covers another; a star stands for the first label."""
    pattern = pattern.lower()
    name = name.lower()
    if pattern == name:
        return True
    _, _, parent = name.partition(".")
    return pattern.startswith("*.") and "." in name and parent == pattern[2:]
