"""Judges a run by what clients and nodes saw.

Each rule is a function of the scenario and the record that yields the texts of its violations. Requests that no rule
binds are counted by reason, never dropped.
"""

from __future__ import annotations

import signal
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from brookreach.simulation.balancer.nodes import PADDING, value_for
from brookreach.simulation.balancer.record import Attempt, AttemptEnd, Outcome, Record, Request
from brookreach.simulation.balancer.scenario import BUILD_ON_TRIAL, TRIAL_CAP, Scenario

SLACK_S = 0.05  # of every time limit on sockets
LATE_S = 0.5  # past its time, an answer is as good as none
CROSSING_S = 0.05  # a request that the end of a resting connection may have crossed
GRACE_S = 0.25  # of a drained node, as in the example configuration
LEFT_S = 0.1  # after a client's close, the latest begin of an attempt
TOLD_SLACK_S = 0.15
WINDOW_S, FREE_ATTEMPTS = 4.0, 3.0  # of the exposure, as in the example configuration
SURPLUS_ATTEMPTS, SURPLUS_SHARE = 2.0, 1.04  # that pass over the cap
CAP_DELAY_S = 0.15
OWN_DELAY_S = 0.05  # by which the drill may note something late beside what it measures
MAX_HELD_UP_S = 0.15  # by the machine: where it is more, a stop has no time to end

ANSWERED_RULE = "each request gets its final answer"
ONCE_RULE = "no effect twice"
REFUSAL_RULE = "a refusal promises that nothing ran"
VALUE_RULE = "a value is what a node made for the request"
DRAIN_RULE = "nothing new to a drained node past its grace"
LEFT_RULE = "no attempt after its client has left"
TOLD_RULE = "an attempt is told no more than what is left"
EXPOSURE_RULE = "attempts at the build on trial stay within the cap"
SERVICE_RULE = "it serves again after a fault"
END_RULE = "a stopping process ends by itself, with exit code 0"

Rule = Callable[[Scenario, Record], Iterator[str]]


def _unanswered(scenario: Scenario, record: Record) -> Iterator[str]:
    for request in record.requests:
        if unbound_reason(scenario, record, request):
            continue
        # The time for which an answer has to wait for those before it on its connection does not count.
        turn_at = request.previous.ended_at if request.previous is not None else request.written_at
        late_s = request.ended_at - max(request.written_at + request.wait_s, turn_at)
        if request.outcome in (Outcome.CLOSED, Outcome.OPEN):
            yield f"{_describe(record, request)}: {request.outcome}"
        elif late_s > LATE_S + SLACK_S + _allowance_s(scenario, record):
            yield f"{_describe(record, request)}: {request.outcome} {late_s:.3f} s past its time"
    yield from record.surplus_messages


def unbound_reason(scenario: Scenario, record: Record, request: Request) -> str:
    """Return why no rule asks for an answer to a request; empty if one does."""
    if request.unbound_reason:
        return request.unbound_reason
    if request.written_at == float("inf"):
        return "never written"
    if request.outcome == Outcome.LEFT:
        return "left by its client"
    if request.outcome == Outcome.CLOSED and _crossed(scenario, record, request):
        return "crossed the end of a resting connection"
    return ""


def _crossed(scenario: Scenario, record: Record, request: Request) -> bool:
    """Whether the balancer may have ended a resting connection before it could read any of the request's batch."""
    if request.behind or request.is_first:
        return False
    seen_within_s = CROSSING_S + scenario.allowance_s + record.measured_delay_s
    if request.ended_at > request.written_at + seen_within_s:
        return False
    return all(one.outcome == Outcome.CLOSED for one in record.requests if one.batch == request.batch)


def _effects_twice(_scenario: Scenario, record: Record) -> Iterator[str]:
    unsafe = {request.name for request in record.requests if not request.is_safe}
    for name, attempts in _attempts_by_name(record).items():
        may_have_run = [attempt for attempt in attempts if attempt.end != AttemptEnd.REFUSED]
        if name in unsafe and len(may_have_run) > 1:
            yield f"{name}: {len(may_have_run)} attempts at nodes {[one.node for one in may_have_run]}"


def _false_refusals(_scenario: Scenario, record: Record) -> Iterator[str]:
    by_name = _attempts_by_name(record)
    for request in record.requests:
        ran = [one for one in by_name[request.name] if one.end != AttemptEnd.REFUSED]
        if request.outcome == Outcome.REFUSED and not request.is_safe and ran:
            yield f"{request.name}: refused, and node {ran[0].node} had it ({ran[0].end})"


def _wrong_values(_scenario: Scenario, record: Record) -> Iterator[str]:
    by_name = _attempts_by_name(record)
    for request in record.requests:
        if request.outcome == Outcome.SERVED:
            made = [value_for(one.name, one.node) for one in by_name[request.name] if one.end == AttemptEnd.SERVED]
            if request.value.rstrip(PADDING) not in made:
                yield f"{request.name}: {request.value!r}, made were {made}"


def _attempts_at_drained(scenario: Scenario, record: Record) -> Iterator[str]:
    for attempt in record.attempts:
        told_at = record.draining_told_at.get(attempt.node, float("inf"))
        late_s = attempt.began_at - told_at - GRACE_S - SLACK_S - _allowance_s(scenario, record)
        if late_s > 0.0:
            yield f"{attempt.name}: at node {attempt.node}, {late_s:.3f} s past its grace"


def _attempts_after_left(scenario: Scenario, record: Record) -> Iterator[str]:
    left_at = {one.name: one.ended_at for one in record.requests if one.outcome in (Outcome.LEFT, Outcome.CLOSED)}
    for attempt in record.attempts:
        late_s = attempt.began_at - left_at.get(attempt.name, float("inf"))
        if late_s > LEFT_S + SLACK_S + _allowance_s(scenario, record):
            yield f"{attempt.name}: an attempt began {late_s:.3f} s after its client had left"


def _told_too_much(scenario: Scenario, record: Record) -> Iterator[str]:
    due_at = {one.name: one.written_at + one.wait_s for one in record.requests}
    for attempt in record.attempts:
        left_s = due_at.get(attempt.name, float("inf")) - attempt.began_at
        surplus_s = attempt.told_ms / 1000.0 - max(left_s, 0.0)
        if surplus_s > TOLD_SLACK_S + _allowance_s(scenario, record):
            yield f"{attempt.name}: told {attempt.told_ms:.0f} ms, {surplus_s:.3f} s more than is left"


def _over_exposed(scenario: Scenario, record: Record) -> Iterator[str]:
    attempts = sorted(one.whole_at for one in record.attempts if one.build == BUILD_ON_TRIAL)
    taken = sorted(one.written_at for one in record.requests)
    reach_s = WINDOW_S + CAP_DELAY_S + _allowance_s(scenario, record)
    for index, at in enumerate(attempts):
        count = index + 1 - bisect_right(attempts, at - WINDOW_S)
        requests = bisect_right(taken, at) - bisect_right(taken, at - reach_s)
        allowed = FREE_ATTEMPTS + SURPLUS_ATTEMPTS + SURPLUS_SHARE * TRIAL_CAP * requests
        if count > allowed:
            yield f"{count} attempts in {WINDOW_S:.0f} s with {requests} requests: {allowed:.1f} are allowed"


def _service_gaps(_scenario: Scenario, record: Record) -> Iterator[str]:
    yield from record.service_gaps


def _unclean_ends(scenario: Scenario, record: Record) -> Iterator[str]:
    is_judged = record.sent_at(signal.SIGTERM) < float("inf") and record.held_up_s <= MAX_HELD_UP_S
    if is_judged and record.exit_code != 0:
        ended = "had to be killed" if record.exit_code is None else f"exit code {record.exit_code}"
        yield f"{ended}, {scenario.kill_after_s:.2f} s after SIGTERM"


RULES: dict[str, Rule] = {
    ANSWERED_RULE: _unanswered,
    ONCE_RULE: _effects_twice,
    REFUSAL_RULE: _false_refusals,
    VALUE_RULE: _wrong_values,
    DRAIN_RULE: _attempts_at_drained,
    LEFT_RULE: _attempts_after_left,
    TOLD_RULE: _told_too_much,
    EXPOSURE_RULE: _over_exposed,
    SERVICE_RULE: _service_gaps,
    END_RULE: _unclean_ends,
}


def find_violations(scenario: Scenario, record: Record) -> Iterator[tuple[str, str]]:
    """Yield each violation as its rule and a text."""
    for rule, violations in RULES.items():
        for text in violations(scenario, record):
            yield rule, text


def count_outcomes(scenario: Scenario, record: Record) -> Counter[str]:
    """Count requests by outcome; those that no rule binds by their reason."""
    return Counter(unbound_reason(scenario, record, one) or str(one.outcome) for one in record.requests)


def _allowance_s(scenario: Scenario, record: Record) -> float:
    """By how much the process was held up and the drill was late: as planned, and as measured."""
    return scenario.allowance_s + record.measured_delay_s + OWN_DELAY_S


def _attempts_by_name(record: Record) -> defaultdict[str, list[Attempt]]:
    by_name: defaultdict[str, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        by_name[attempt.name].append(attempt)
    return by_name


def _describe(record: Record, request: Request) -> str:
    stopped_at = record.sent_at(signal.SIGTERM)
    kind = "safe" if request.is_safe else "unsafe"
    place = "first of its connection" if request.is_first else f"behind {request.behind}"
    at_node = [one.node for one in record.attempts if one.name == request.name]
    return (
        f"{request.name} ({kind}, {place}), written {request.written_at - stopped_at:+.3f} s from SIGTERM with "
        f"{request.wait_s:.3f} s, ended {request.ended_at - stopped_at:+.3f} s, at nodes {at_node}"
    )
