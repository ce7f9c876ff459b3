"""Credentials in use, read anew from their files when these change."""

from __future__ import annotations

import datetime as dt
from collections.abc import Callable
from pathlib import Path

from brookreach.tls.credentials import Credentials, verify_credentials
from brookreach.tls.errors import InvalidCredentialsError

FileStamp = tuple[int, int]
"""Time of modification in ns, and size."""

NO_FILE: FileStamp = (0, 0)  # none is configured
UNREADABLE: FileStamp = (-1, -1)


def utc_now() -> dt.datetime:
    """Returns the time of day."""
    return dt.datetime.now(dt.UTC)


class CredentialsReloader:
    """The credentials in use. Invalid files leave them as they are, with one line of log.

    Attributes:
        credentials: Those in use.
        now: The clock.
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
        """Reads the first credentials; raises InvalidCredentialsError, since nothing can start without any."""
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
        """Reads the files if they have changed; returns whether other credentials are in use now.

        It may be called from any thread, as often as one likes.
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
        """Logs each error once."""
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
