"""The configuration file of a cluster and the file of its key: TOML into checked types.

The file names the cluster, its replicas, its key, its timing and the operators' budgets. Whoever can read the key can
speak as any replica or client, so a key file that others may read is rejected. Keys of the file keep their names in
every version; where a field is called otherwise here, it bears the key as its encoded name.
"""

from __future__ import annotations

import ipaddress
import os
import stat
from collections.abc import Hashable, Iterator, Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.files import InvalidFileError, convert_values, read_bounded, read_toml
from brookreach.net.stream import parse_address

MIN_KEY_BYTES = 32
MAX_KEY_BYTES = 4096
KEY_FILE_MODE = 0o600
OTHERS_ACCESS = 0o077  # permission bits that a key file must not have
MAX_DRIFT = 0.2
MIN_HEARTBEATS_PER_ELECTION = 3.0
MIN_ELECTIONS_PER_LEASE = 3.0
SCOPE_PATTERN = r"^(all|zone:[A-Za-z0-9._-]+|build:[0-9]+|service:[A-Za-z0-9._-]+)\Z"

Milliseconds = Annotated[float, msgspec.Meta(ge=1.0, le=3_600_000.0)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 20)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One table of the file; a key that it does not know is an error."""


class GroupSection(Section, frozen=True):
    """[group]: the cluster's name and key file.

    Attributes:
        name: Every frame bears it, so that two clusters can't mix.
        key: Path of the key file, relative to this file's folder.
        beyond_loopback: Whether replicas may listen on other addresses. Frames are authenticated, not encrypted.
    """

    name: messages.Name
    key: str
    beyond_loopback: bool = False


class TimingSection(Section, frozen=True):
    """[timing]: see `Timing`, which explains each value."""

    heartbeat_ms: Milliseconds = msgspec.field(name="beat_ms", default=50.0)
    election_timeout_ms: Milliseconds = msgspec.field(name="election_ms", default=300.0)
    lease_ms: Milliseconds = 3000.0
    drift: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_DRIFT)] = 0.01
    max_pending_proposals: PositiveCount = msgspec.field(name="most_queued", default=4096)
    snapshot_interval_entries: PositiveCount = msgspec.field(name="cut_entries", default=10_000)


class ReplicaSection(Section, frozen=True):
    """[[keeper]]: a replica that may be a member, the address it listens on, and the folder of its storage."""

    name: messages.Name
    listen: str
    disk: str


class BudgetSection(Section, frozen=True):
    """[[budget]]: how many targets of a scope may be out at once, and how many must be ready."""

    scope: Annotated[str, msgspec.Meta(pattern=SCOPE_PATTERN, max_length=80)]
    kind: Literal["node", "marshal"]
    most_out: Count
    least_ready: Count


class ClusterConfiguration(Section, frozen=True):
    """The whole file."""

    group: GroupSection
    replicas: Annotated[tuple[ReplicaSection, ...], msgspec.Meta(min_length=1, max_length=messages.MAX_MEMBERS)] = (
        msgspec.field(name="keeper")
    )
    timing: TimingSection = TimingSection()
    budgets: tuple[BudgetSection, ...] = msgspec.field(name="budget", default=())

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Returns host and port of each replica by its name."""
        return {replica.name: parse_address(replica.listen) for replica in self.replicas}

    def times(self) -> Timing:
        """Returns the table [timing] as replicas and clients use it."""
        return Timing(**msgspec.structs.asdict(self.timing))


def read(path: Path) -> ClusterConfiguration:
    """Reads and checks the file; raises InvalidFileError with all that is wrong in it."""
    return read_values(path, read_toml(path))


def read_values(path: Path, values: dict[str, Any]) -> ClusterConfiguration:
    """Checks the values of a file; raises InvalidFileError with all that is wrong in them."""
    configuration = convert_values(path, values, ClusterConfiguration)
    errors = [
        *_duplicate_replicas(configuration.replicas),
        *_unusable_addresses(configuration),
        *_timing_conflicts(configuration.timing),
        *_duplicate_budgets(configuration.budgets),
    ]
    if errors:
        raise InvalidFileError([f"{path}: {error}" for error in errors])
    return configuration


def read_key(path: Path, configuration: ClusterConfiguration) -> bytes:
    """Reads the cluster's key; `path` is the configuration's, beside which the key file stands.

    Raises:
        InvalidFileError: Others may read the key file, or it holds no key.
    """
    key_path = path.parent / configuration.group.key
    key = read_bounded(key_path, MAX_KEY_BYTES)
    mode = stat.S_IMODE(key_path.stat().st_mode)
    if mode & OTHERS_ACCESS:
        raise InvalidFileError([f"{key_path}: mode {mode:o}; others than its owner must have no access: chmod 600"])
    if len(key) < MIN_KEY_BYTES:
        allowed = f"{MIN_KEY_BYTES} random bytes or more are allowed"
        raise InvalidFileError([f"{key_path}: {len(key)} bytes; {allowed}: brookreach fleet key PATH"])
    return key


def make_key(path: Path) -> None:
    """Writes a new random key to `path`, where no file may stand yet.

    Raises:
        InvalidFileError: The file exists or can't be written.
    """
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, KEY_FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(os.urandom(MIN_KEY_BYTES))
    except OSError as error:
        raise InvalidFileError([f"{path}: can't be made: {error.strerror}"]) from None


def _duplicates(values: Sequence[Hashable]) -> Iterator[int]:
    """Yields the positions of values that stand at an earlier position as well."""
    return (position for position, value in enumerate(values) if values.index(value) != position)


def _duplicate_replicas(replicas: Sequence[ReplicaSection]) -> Iterator[str]:
    columns = {
        "name": [replica.name for replica in replicas],
        "listen": [replica.listen for replica in replicas],
        "disk": [replica.disk for replica in replicas],
    }
    for key, values in columns.items():
        for position in _duplicates(values):
            yield f"keeper[{position}].{key}: {values[position]!r} stands twice"


def _unusable_addresses(configuration: ClusterConfiguration) -> Iterator[str]:
    for position, replica in enumerate(configuration.replicas):
        try:
            host, _ = parse_address(replica.listen)
        except ValueError as error:
            yield f"keeper[{position}].listen: {error}"
            continue
        if not configuration.group.beyond_loopback and not _is_loopback(host):
            yield (
                f"keeper[{position}].listen: {replica.listen!r} is not on loopback; "
                "group.beyond_loopback = true allows it"
            )


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return host == "localhost"


def _timing_conflicts(timing: TimingSection) -> Iterator[str]:
    """Yields what would let leaders lose elections, or clients their leases, without a fault."""
    if timing.election_timeout_ms < MIN_HEARTBEATS_PER_ELECTION * timing.heartbeat_ms:
        yield (
            f"timing.election_ms: {timing.election_timeout_ms}; 3 x beat_ms ({timing.heartbeat_ms}) or "
            "more is allowed, or followers stand while their leader lives"
        )
    if timing.lease_ms < MIN_ELECTIONS_PER_LEASE * timing.election_timeout_ms:
        yield (
            f"timing.lease_ms: {timing.lease_ms}; 3 x election_ms ({timing.election_timeout_ms}) "
            "or more is allowed, or leases end at each election"
        )


def _duplicate_budgets(budgets: Sequence[BudgetSection]) -> Iterator[str]:
    scopes = [(budget.scope, budget.kind) for budget in budgets]
    for position in _duplicates(scopes):
        scope, kind = scopes[position]
        yield f"budget[{position}]: {scope!r} stands twice for kind {kind!r}"
