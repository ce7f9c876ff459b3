"""The file that names a group: its keepers, its key, its times and the operators' budgets. TOML into checked
types.

It owns what may stand in that file and in the key's. It must never open a socket or a keeper's disk. Whoever
can read the key can speak as any keeper or client, so a key file that others may read is refused.
"""

from __future__ import annotations

import ipaddress
import os
import stat
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.files import BadFile, checked, read_bounded, read_toml
from brookreach.net.stream import address

LEAST_KEY, MOST_KEY = 32, 4096  # bytes
MOST_DRIFT = 0.2
SCOPE = r"^(all|zone:[A-Za-z0-9._-]+|build:[0-9]+|service:[A-Za-z0-9._-]+)\Z"

Ms = Annotated[float, msgspec.Meta(ge=1.0, le=3_600_000.0)]
Many = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
Places = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One table of the file; a key that it does not know is an error."""


class GroupPart(Part, frozen=True):
    """[group]: its name, and where its key stands (beside this file, unless the path is absolute)."""

    name: messages.Name
    key: str
    beyond_loopback: bool = False  # keepers may listen elsewhere; what is said is sealed, not hidden


class TimingPart(Part, frozen=True):
    """[timing]: `seams.Timing`, in which each figure is explained."""

    beat_ms: Ms = 50.0
    election_ms: Ms = 300.0
    lease_ms: Ms = 3000.0
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=MOST_DRIFT)] = 0.01
    most_queued: Many = 4096
    cut_entries: Many = 10_000


class KeeperPart(Part, frozen=True):
    """[[keeper]]: one that may hold a seat, where it listens, and the folder of its disk."""

    name: messages.Name
    listen: str
    disk: str


class BudgetPart(Part, frozen=True):
    """[[budget]]: how many nodes or marshals of a scope may be out at once, and how many must be ready."""

    scope: Annotated[str, msgspec.Meta(pattern=SCOPE, max_length=80)]
    kind: Literal["node", "marshal"]
    most_out: Places
    least_ready: Places


class ClusterConfiguration(Part, frozen=True):
    """The whole file."""

    group: GroupPart
    keeper: Annotated[tuple[KeeperPart, ...], msgspec.Meta(min_length=1, max_length=messages.MAX_MEMBERS)]
    timing: TimingPart = TimingPart()
    budget: tuple[BudgetPart, ...] = ()

    def addresses(self) -> dict[str, tuple[str, int]]:
        return {one.name: address(one.listen) for one in self.keeper}

    def times(self) -> Timing:
        """The table [timing] as the processes use it."""
        return Timing(
            heartbeat_ms=self.timing.beat_ms,
            election_timeout_ms=self.timing.election_ms,
            lease_ms=self.timing.lease_ms,
            drift=self.timing.drift,
            max_pending_proposals=self.timing.most_queued,
            snapshot_interval_entries=self.timing.cut_entries,
        )


def read_values(path: Path, values: dict[str, Any]) -> ClusterConfiguration:
    """A file's values, checked; raises BadFile with all that is wrong between keys."""
    told = checked(path, values, ClusterConfiguration)
    errors = _keepers(path, told) + _times(path, told.timing)
    seen = [(one.scope, one.kind) for one in told.budget]
    errors += [
        f"{path}: budget[{at}]: {one[0]!r} stands twice for kind {one[1]!r}"
        for at, one in enumerate(seen)
        if seen.index(one) != at
    ]
    if errors:
        raise BadFile(errors)
    return told


def _keepers(path: Path, told: ClusterConfiguration) -> list[str]:
    errors: list[str] = []
    for field in ("name", "listen", "disk"):
        stand = [getattr(one, field) for one in told.keeper]
        errors += [
            f"{path}: keeper[{at}].{field}: {one!r} stands twice"
            for at, one in enumerate(stand)
            if stand.index(one) != at
        ]
    for at, one in enumerate(told.keeper):
        try:
            host, _ = address(one.listen)
        except ValueError as error:
            errors.append(f"{path}: keeper[{at}].listen: {error}")
            continue
        if not told.group.beyond_loopback and not _loopback(host):
            errors.append(
                f"{path}: keeper[{at}].listen: {one.listen!r} is not on loopback; "
                "group.beyond_loopback = true allows it"
            )
    return errors


def _loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return host == "localhost"


def _times(path: Path, timing: TimingPart) -> list[str]:
    """What elections and leases need of each other to come out right."""
    errors = []
    if timing.election_ms < 3.0 * timing.beat_ms:
        errors.append(
            f"{path}: timing.election_ms: {timing.election_ms}; 3 x beat_ms ({timing.beat_ms}) or "
            "more is allowed, or followers stand while their leader lives"
        )
    if timing.lease_ms < 3.0 * timing.election_ms:
        errors.append(
            f"{path}: timing.lease_ms: {timing.lease_ms}; 3 x election_ms ({timing.election_ms}) "
            "or more is allowed, or leases end at each election"
        )
    return errors


def read(path: Path) -> ClusterConfiguration:
    """Raises BadFile."""
    return read_values(path, read_toml(path))


def read_key(path: Path, told: ClusterConfiguration) -> bytes:
    """The group's key; raises BadFile where others may read it, or it is none."""
    file = path.parent / told.group.key
    octets = read_bounded(file, MOST_KEY)
    mode = stat.S_IMODE(file.stat().st_mode)
    if mode & 0o077:
        raise BadFile([f"{file}: mode {mode:o}; others than its owner must have no access: chmod 600"])
    if len(octets) < LEAST_KEY:
        raise BadFile(
            [f"{file}: {len(octets)} bytes; {LEAST_KEY} random bytes or more are allowed: brookreach fleet key PATH"]
        )
    return octets


def make_key(path: Path) -> None:
    """A new key where no file stands yet; raises BadFile."""
    try:
        with os.fdopen(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(os.urandom(LEAST_KEY))
    except OSError as error:
        raise BadFile([f"{path}: can't be made: {error.strerror}"]) from None
