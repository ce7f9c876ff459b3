"""Translates between records of the simulator's wire and the events and actions of the interface."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from brookreach import interface as ifc
from brookreach.balancer_settings_reader import read_balancer_settings, us_to_ms
from brookreach.settings_object import SettingsError
from brookreach.simulator_adapter.frame_codec import WireError

OUTCOMES = {
    0: ifc.Outcome.OK,
    5: ifc.Outcome.ERROR,
    11: ifc.Outcome.FULL,
    110: ifc.Outcome.TIMEOUT,
    111: ifc.Outcome.NO_CONNECT,
    104: ifc.Outcome.RESET,
    125: ifc.Outcome.CANCELLED,
    114: ifc.Outcome.MOOT,
}
LIST_KINDS = {0: ifc.ListKind.FULL, 2: ifc.ListKind.DELTA, 3: ifc.ListKind.FAILED, 4: ifc.ListKind.CACHED}
MAX_TIMER_US = 71 * 60 * 1_000_000
MAX_TIMEOUT_US = 2**31 - 1
MAX_TEXT_BYTES = 60_000
ALL_PEERS = 0xFFFF
# Bits of NewRequest.
HAS_COST_BIT = 1
IS_RETRY_BIT = 2
IS_WRITE_BIT = 4

Record = tuple[str, tuple[Any, ...]]  # the name and the fields of a record


def to_us(ms: float) -> int:
    """Return milliseconds as whole microseconds."""
    return round(ms * 1000.0)


def settings_from(seed: int, text: bytes) -> ifc.BalancerSettings:
    """Return the settings of an instance from their JSON text. Raises WireError."""
    try:
        return read_balancer_settings(seed, json.loads(text))
    except SettingsError as error:
        raise WireError(str(error)) from None
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None


def entry_from(row: tuple[Any, ...]) -> ifc.NodeEntry:
    """Return one row of a list of nodes. Raises ValueError for an unknown state."""
    cell, state, started_us, build, zone, kind, node, size = row
    return ifc.NodeEntry(node, ifc.NodeState(state), us_to_ms(started_us), int(build), zone, cell, kind, size)


def _loads(reports: tuple[ifc.LoadMetric, ...], figures: tuple[float, ...]) -> dict[ifc.LoadMetric, float]:
    return dict(zip(reports, figures, strict=False))


def event_from(
    name: str,
    fields: tuple[Any, ...],
    reports: tuple[ifc.LoadMetric, ...],
    node_lists: dict[int, tuple[ifc.NodeEntry, ...]],
) -> ifc.Event:
    """Return one record as an event.

    Args:
        name: Of the record.
        fields: Of the record, without the number of the instance.
        reports: The load metrics that nodes report, in their order on the wire.
        node_lists: Lists of nodes by their number on the wire.

    Raises:
        KeyError: The wire has no such value.
        ValueError: The same.
    """
    match name:
        case "Returned":
            rpc_id, outcome, final, pick_index, duration_us, node, figures = fields
            return ifc.PickEnded(
                rpc_id,
                pick_index,
                node,
                OUTCOMES[outcome],
                final != 0,
                us_to_ms(duration_us),
                _loads(reports, figures),
            )
        case "NewRequest":
            rpc_id, method, tenant, key, deadline_us, cost_us, bits = fields
            return ifc.RpcReceived(
                rpc_id,
                method,
                tenant,
                key,
                us_to_ms(deadline_us),
                us_to_ms(cost_us) if bits & HAS_COST_BIT else None,
                bool(bits & IS_RETRY_BIT),
                bool(bits & IS_WRITE_BIT),
            )
        case "Ring":
            return ifc.TimerFired(fields[0])
        case "Dropped":
            return ifc.RpcCancelled(fields[0])
        case "Registry":
            list_kind, version, list_number = fields
            kind = LIST_KINDS[list_kind]
            return ifc.NodeList(kind, version, () if kind == ifc.ListKind.FAILED else node_lists[list_number])
        case "RolloutState":
            is_reply, stage, cap, outcome, phase, age_us, build = fields
            return ifc.RolloutStatus(
                is_reply != 0, OUTCOMES[outcome], stage, cap, ifc.RolloutPhase(phase), us_to_ms(age_us), build
            )
        case "PeriodSums":
            build, age_us, failed, count, mean_us, method = fields
            return ifc.OutcomeCounts(build, method, us_to_ms(age_us), failed, count, us_to_ms(mean_us))
        case "Disputed":
            node, method, age_us = fields
            return ifc.DisputedAnswer(node, method, us_to_ms(age_us))
        case "Probed":
            duration_us, node, outcome, figures = fields
            return ifc.ProbeEnded(node, OUTCOMES[outcome], us_to_ms(duration_us), _loads(reports, figures))
        case "AckFirst":
            rpc_id, pick_index, node, duration_us = fields
            return ifc.StreamStarted(rpc_id, pick_index, node, us_to_ms(duration_us))
        case _:  # "Mail": the table of events holds no other name
            peer, payload = fields
            return ifc.PeerMessage(peer, payload)


_ACTIONS: dict[type, Callable[[Any], Record]] = {
    # A timeout of 0 would mean "until the client gives up" on the wire.
    ifc.Pick: lambda a: ("Assign", (a.rpc_id, a.node, max(1, min(to_us(a.timeout_ms), MAX_TIMEOUT_US)))),
    ifc.PushBack: lambda a: ("Shed", (a.rpc_id, to_us(a.retry_after_ms))),
    ifc.Abort: lambda a: ("ReportFailure", (a.rpc_id,)),
    ifc.CancelPick: lambda a: ("StopAttempt", (a.rpc_id, a.pick_index)),
    ifc.SetTimer: lambda a: ("Schedule", (max(0, min(to_us(a.delay_ms), MAX_TIMER_US)), a.token)),
    ifc.Probe: lambda a: ("Touch", (a.node,)),
    ifc.CloseIdle: lambda a: ("LetGo", (a.node,)),
    ifc.Vote: lambda a: ("SaySo", (a.stage, int(a.verdict), a.build)),
    ifc.FetchNodeList: lambda _a: ("QueryAll", ()),
    ifc.WatchNodeList: lambda a: ("Tail", (int(a.enabled),)),
    ifc.SendToPeer: lambda a: ("BroadcastTo", (ALL_PEERS if a.peer is None else a.peer, a.payload)),
    ifc.DecisionFault: lambda a: ("Crash", (a.text.encode()[:MAX_TEXT_BYTES],)),
    ifc.LogLine: lambda a: ("SayLog", (a.text.encode()[:MAX_TEXT_BYTES],)),
}


def record_from(instance: int, action: ifc.Action) -> Record:
    """Return an action of an instance as a record."""
    name, fields = _ACTIONS[type(action)](action)
    return name, (instance, *fields)
