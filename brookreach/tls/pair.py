"""A certificate chain, its key and who is trusted: read, checked as a whole, kept or refused.

`judge` is free of I/O. `Replica` reads the files; what can't be used leaves the pair that is in use, with one
line.
"""

from __future__ import annotations

import datetime as dt
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

MOST_BYTES = 1 << 20


class PairError(ValueError):
    """Why a pair can't be used; never with anything of a key in it."""


@dataclass(frozen=True)
class Pair:
    """A pair that fits. `key` is PEM and never shown."""

    chain: bytes
    key: bytes
    trusted: bytes
    serial: str
    names: tuple[str, ...]
    until: dt.datetime

    def __repr__(self) -> str:
        return f"Pair(serial {self.serial}, names {', '.join(self.names)}, until {self.until:%Y-%m-%d %H:%M})"

    def days_left(self, now: dt.datetime) -> float:
        return (self.until - now).total_seconds() / 86_400.0


def _names(one: x509.Certificate) -> tuple[str, ...]:
    try:
        held = one.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (
        *held.get_values_for_type(x509.DNSName),
        *(str(address) for address in held.get_values_for_type(x509.IPAddress)),
    )


def _fits(name: str, wanted: str) -> bool:
    """A name of a certificate for a wanted one; a star stands for one first label."""
    name, wanted = name.lower(), wanted.lower()
    return name == wanted or (name.startswith("*.") and "." in wanted and wanted.split(".", 1)[1] == name[2:])


def judge(chain: bytes, key: bytes, trusted: bytes, now: dt.datetime, name: str = "") -> Pair:
    """The pair, if all of it fits together and holds now. Raises PairError."""
    for what, octets in (("certificate", chain), ("key", key), ("trusted", trusted)):
        if len(octets) > MOST_BYTES:
            raise PairError(f"{what}: over {MOST_BYTES} bytes")
    try:
        certificates = x509.load_pem_x509_certificates(chain)
    except ValueError:
        raise PairError("certificate: no PEM certificate can be read") from None
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise PairError("key: no unencrypted PEM key can be read") from None
    first = certificates[0]
    form = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if first.public_key().public_bytes(*form) != private.public_key().public_bytes(*form):
        raise PairError("the key is not the certificate's: one of the files is of another pair")
    if now < first.not_valid_before_utc:
        raise PairError(f"not valid before {first.not_valid_before_utc:%Y-%m-%d %H:%M} UTC")
    if now >= first.not_valid_after_utc:
        raise PairError(f"expired at {first.not_valid_after_utc:%Y-%m-%d %H:%M} UTC")
    names = _names(first)
    if name and not any(_fits(one, name) for one in names):
        raise PairError(f"it is for {', '.join(names) or 'no name'}, not for {name}")
    if trusted:
        try:
            x509.load_pem_x509_certificates(trusted)
        except ValueError:
            raise PairError("trusted: no PEM certificate can be read") from None
    for lower, upper in zip(certificates, certificates[1:], strict=False):
        try:
            lower.verify_directly_issued_by(upper)
        except (ValueError, TypeError, InvalidSignature):
            raise PairError("the chain is broken: a certificate is not issued by the next one") from None
    until = min(one.not_valid_after_utc for one in certificates)
    return Pair(chain, key, trusted, f"{first.serial_number:x}", names, until)


class Keeper:
    """The pair in use. `look` reads the files again; it may be called from any thread, as often as one
    likes.
    """

    def __init__(
        self,
        certificate: Path,
        key: Path,
        trusted: Path | None,
        name: str,
        say: Callable[[str], None],
        now: Callable[[], dt.datetime] = lambda: dt.datetime.now(dt.UTC),
    ):
        self.files, self.name, self.say, self.now = (certificate, key, trusted), name, say, now
        self.refused = ""
        self.stamp = self._stamp()
        self.pair = self._read()  # raises PairError: without a first pair nothing begins

    def _stamp(self) -> tuple[tuple[int, int], ...]:
        out = []
        for path in self.files:
            try:
                found = path.stat() if path else None
                out.append((found.st_mtime_ns, found.st_size) if found else (0, 0))
            except OSError:
                out.append((-1, -1))
        return tuple(out)

    def _read(self) -> Pair:
        octets = []
        for path in self.files:
            try:
                octets.append(path.read_bytes() if path else b"")
            except OSError as error:
                raise PairError(f"{path}: {error.strerror}") from None
        return judge(octets[0], octets[1], octets[2], self.now(), self.name)

    def look(self) -> bool:
        """Whether another pair has come into use."""
        stamp = self._stamp()
        if stamp == self.stamp and not self.refused:
            return False
        self.stamp = stamp
        try:
            pair = self._read()
        except PairError as error:
            if str(error) != self.refused:
                self.refused = str(error)
                self.say(f"new pair not taken, serial {self.pair.serial} stays: {error}")
            return False
        self.refused = ""
        if pair == self.pair:
            return False
        self.pair = pair
        self.say(f"pair changed: serial {pair.serial}, {pair.days_left(self.now()):.1f} days left")
        return True
