"""The credentials in use, read again when their files change."""

from __future__ import annotations

import datetime as dt
from collections.abc import Callable
from pathlib import Path

from brookreach.tls.credentials import Credentials, verify_credentials
from brookreach.tls.errors import InvalidCredentialsError

FileStamp = tuple[int, int]
"""The time of modification in ns, and the size in bytes."""

NO_FILE: FileStamp = (0, 0)
"""No file is configured."""

UNREADABLE: FileStamp = (-1, -1)


def utc_now() -> dt.datetime:
    """Return the time of day in UTC."""
    return dt.datetime.now(dt.UTC)


class CredentialsReloader:
    """Reads credentials from files. Invalid files leave those in use as they are, and are logged once.

    Attributes:
        credentials: Those in use.
        now: Gives the time of day in UTC.
    """

    def __init__(
        self,
        certificate: Path,
        key: Path,
        trusted_roots: Path | None,
        name: str,
        log: Callable[[str], None],
        now: Callable[[], dt.datetime] = utc_now,
    ) -> None:
        """Read the first credentials.

        Args:
            certificate: The file of the certificate chain.
            key: The file of its key.
            trusted_roots: The file of the roots for peers' certificates; None where peers need none.
            name: A name that the certificate has to be valid for; empty for any.
            log: Takes one line.
            now: Gives the time of day in UTC.

        Raises:
            InvalidCredentialsError: They can't be used; nothing can start without any.
        """
        self._certificate = certificate
        self._key = key
        self._trusted_roots = trusted_roots
        self._name = name
        self._log = log
        self.now = now
        self._last_error = ""
        self._stamps = self._file_stamps()
        self.credentials = self._read()

    def reload(self) -> bool:
        """Read the files if they have changed; return whether other credentials are in use now.

        It may be called from any thread. It is cheap while the files stay the same, except after an error.
        """
        stamps = self._file_stamps()
        if stamps == self._stamps and not self._last_error:
            return False
        self._stamps = stamps
        try:
            credentials = self._read()
        except InvalidCredentialsError as error:
            self._log_rejected(str(error))
            return False
        self._last_error = ""
        if credentials == self.credentials:
            return False
        self.credentials = credentials
        self._log(f"pair changed: serial {credentials.serial}, {credentials.days_left(self.now()):.1f} days left")
        return True

    def _log_rejected(self, error: str) -> None:
        """Log an error unless it is the same as the last."""
        if error != self._last_error:
            self._last_error = error
            self._log(f"new pair not taken, serial {self.credentials.serial} stays: {error}")

    def _file_stamps(self) -> tuple[FileStamp, ...]:
        return tuple(_file_stamp(path) for path in (self._certificate, self._key, self._trusted_roots))

    def _read(self) -> Credentials:
        chain = _read_file(self._certificate)
        key = _read_file(self._key)
        trusted_roots = _read_file(self._trusted_roots) if self._trusted_roots else b""
        return verify_credentials(chain, key, trusted_roots, self.now(), self._name)


def _file_stamp(path: Path | None) -> FileStamp:
    if path is None:
        return NO_FILE
    try:
        status = path.stat()
    except OSError:
        return UNREADABLE
    return status.st_mtime_ns, status.st_size


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidCredentialsError(f"{path}: {error.strerror}") from error
