"""Judges a run of the standstill drill by what clients, nodes, discovery and the platform saw.

Nothing is allowed for the standstill itself but what nobody could do during it: what was known to the kernel before
the process went on binds it from then.
"""

from __future__ import annotations

import math
import signal
from collections.abc import Callable, Iterator
from dataclasses import replace

from brookreach.simulation.balancer import checker as soak
from brookreach.simulation.balancer.record import Attempt, Outcome, Record, Request
from brookreach.simulation.balancer.scenario import BUILD_ON_TRIAL
from brookreach.simulation.standstill.run import LISTED_WITHIN_S, StandstillRun
from brookreach.simulation.standstill.scenario import InputPair

LOWER_CAP_S = 0.4  # after a lower cap is told it binds: the grace and 0.15 s
CAP_SURPLUS = 2  # attempts that pass over the cap
SENT_BACK_RULE = "a build that is sent back gets no further attempts"
LISTED_RULE = "a change is heard in time after discovery's return"

Rule = Callable[[StandstillRun], Iterator[str]]


def _slack_s(record: Record) -> float:
    return soak.SLACK_S + soak.OWN_DELAY_S + record.measured_delay_s


def _unanswered(run: StandstillRun) -> Iterator[str]:
    for request in run.record.requests:
        if soak.unbound_reason(run.scenario, run.record, request) or _is_cut_off(run, request):
            continue
        due_at = request.written_at + request.wait_s
        if request.previous is not None:
            due_at = max(due_at, request.previous.ended_at)
        if run.standstill.stopped_at < due_at < run.standstill.resumed_at:
            due_at = run.standstill.resumed_at
        late_s = request.ended_at - due_at
        if request.outcome in (Outcome.CLOSED, Outcome.OPEN):
            yield f"{request.name}: {request.outcome}"
        elif late_s > soak.LATE_S + _slack_s(run.record):
            yield f"{request.name}: {request.outcome} {late_s:.3f} s past its time"
    yield from run.record.surplus_messages


def _is_cut_off(run: StandstillRun, request: Request) -> bool:
    """Whether the run ended before the request was lost; at a stop all are answered by its end."""
    if run.pair == InputPair.STOP_AND_CROWD:
        return False
    is_open = request.outcome in (Outcome.OPEN, Outcome.CLOSED)
    return (
        is_open
        and min(request.ended_at, run.ended_at) + soak.SLACK_S >= run.ended_at
        and (request.written_at + request.wait_s + soak.LATE_S > run.ended_at)
    )


def _attempts_after_left(run: StandstillRun) -> Iterator[str]:
    left_at = {one.name: one.ended_at for one in run.record.requests if one.outcome == Outcome.LEFT}
    for attempt in run.record.attempts:
        late_s = attempt.began_at - left_at.get(attempt.name, float("inf"))
        if late_s > soak.LEFT_S + _slack_s(run.record):
            yield f"{attempt.name}: an attempt began {late_s:.3f} s after its client had left"


def _attempt_in_hand(run: StandstillRun) -> Attempt | None:
    """Return the attempt that the process may have been about to write as it was stopped: the first one after it.

    Between its look at the clock and the system call nothing can tell it that it stood still.
    """
    written_at = {one.name: one.written_at for one in run.record.requests}
    resumed_at = run.standstill.resumed_at
    for attempt in sorted(run.record.attempts, key=lambda one: one.began_at):
        if attempt.began_at >= resumed_at:
            is_first = attempt.began_at < resumed_at + _slack_s(run.record)
            is_older = written_at.get(attempt.name, math.inf) < run.standstill.stopped_at
            return attempt if is_first and is_older else None
    return None


def _attempts_at_drained(run: StandstillRun) -> Iterator[str]:
    in_hand = _attempt_in_hand(run)
    for attempt in run.record.attempts:
        told_at = run.record.draining_told_at.get(attempt.node, float("inf"))
        late_s = attempt.began_at - told_at - soak.GRACE_S - _slack_s(run.record)
        if late_s > 0.0 and attempt is not in_hand:
            yield f"{attempt.name}: at node {attempt.node}, {late_s:.3f} s past its grace"


def _told_too_much(run: StandstillRun) -> Iterator[str]:
    in_hand = _attempt_in_hand(run)
    attempts = [one for one in run.record.attempts if one is not in_hand]
    yield from soak.RULES[soak.TOLD_RULE](run.scenario, replace(run.record, attempts=attempts))


def _attempts_over_cap(run: StandstillRun) -> Iterator[str]:
    bound_at = run.control.cap_0_told_at + LOWER_CAP_S + _slack_s(run.record)
    late = [one for one in run.record.attempts if one.build == BUILD_ON_TRIAL and one.began_at > bound_at]
    if len(late) > CAP_SURPLUS:
        yield f"{len(late)} attempts at the build that was sent back after its cap of 0 bound, {CAP_SURPLUS} pass"


def _heard_late(run: StandstillRun) -> Iterator[str]:
    if run.pair == InputPair.OUTAGE_AND_DRAIN:
        heard_s = run.record.draining_told_at.get(0, float("inf")) - run.standstill.resumed_at
        if heard_s > LISTED_WITHIN_S + _slack_s(run.record):
            yield f"the drain was asked for {heard_s:.2f} s after the process went on"


def _unclean_end(run: StandstillRun) -> Iterator[str]:
    if run.pair == InputPair.STOP_AND_CROWD and run.record.held_up_s <= soak.MAX_HELD_UP_S:
        after_s = run.scenario.kill_after_s
        stopped_s = run.standstill.resumed_at - run.record.sent_at(signal.SIGTERM)
        if run.record.exit_code != 0:
            yield f"exit code {run.record.exit_code} {after_s:.2f} s after SIGTERM, {stopped_s:.2f} s of it stopped"


def _soak_rule(name: str) -> Rule:
    def violations(run: StandstillRun) -> Iterator[str]:
        yield from soak.RULES[name](run.scenario, run.record)

    return violations


RULES: dict[str, Rule] = {
    soak.ANSWERED_RULE: _unanswered,
    soak.ONCE_RULE: _soak_rule(soak.ONCE_RULE),
    soak.REFUSAL_RULE: _soak_rule(soak.REFUSAL_RULE),
    soak.VALUE_RULE: _soak_rule(soak.VALUE_RULE),
    soak.DRAIN_RULE: _attempts_at_drained,
    soak.LEFT_RULE: _attempts_after_left,
    soak.TOLD_RULE: _told_too_much,
    soak.EXPOSURE_RULE: _soak_rule(soak.EXPOSURE_RULE),
    SENT_BACK_RULE: _attempts_over_cap,
    LISTED_RULE: _heard_late,
    soak.SERVICE_RULE: _soak_rule(soak.SERVICE_RULE),
    soak.END_RULE: _unclean_end,
}


def find_violations(run: StandstillRun) -> Iterator[tuple[str, str]]:
    """Yield each violation as its rule and a text."""
    for rule, violations in RULES.items():
        for text in violations(run):
            yield rule, text
