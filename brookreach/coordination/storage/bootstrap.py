"""How the storage of a new replica begins: as a member of a new cluster, or about to join an existing one."""

from __future__ import annotations

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol.messages import MAX_MEMBERS
from brookreach.coordination.raft.membership import is_valid_membership
from brookreach.coordination.raft.types import PendingSave, Snapshot


def initial_save(name: str, members: tuple[str, ...], *, joins: bool) -> PendingSave:
    """Return the first save of an empty storage.

    Args:
        name: The replica's own name.
        members: The members of the cluster: with this replica if it is new, without it if the replica joins.
        joins: Whether the replica is to join an existing cluster.

    Raises:
        StorageError: If these can't be the members.
    """
    listed = ", ".join(members) or "none"
    if not is_valid_membership(members):
        raise StorageError(f"members {listed}: 1 to {MAX_MEMBERS} different names are allowed")
    if joins and name in members:
        raise StorageError(f"{name} is already a member among {listed}")
    if not joins and name not in members:
        raise StorageError(f"{name} is not a member among {listed}")
    return PendingSave(0, "", 0, [], Snapshot(members=members))


def last_index_after(save: PendingSave) -> int:
    """Return the index of the log's last entry once `save` is carried out."""
    last_index = save.truncate_after + len(save.entries)
    if save.snapshot is None:
        return last_index
    return max(last_index, save.snapshot.index)
