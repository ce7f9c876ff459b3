"""The plan of a rollout as a table for people."""

from __future__ import annotations

from brookreach.policy.cusum import FAILURE_RATE_INCREASE
from brookreach.verdict.plan_records import Plan


def format_plan(plan: Plan) -> str:
    """Return a plan as lines of text: thresholds, error rates, stages, effects and what it can't promise."""
    lines = [
        f"stated: false alarm {plan.stated.false_alarm:g}, miss {plan.stated.miss:g}, over {plan.marshals} "
        f"marshals together",
        f"threshold {plan.threshold:.2f}, of failures {plan.failing_threshold:.2f} "
        f"(tallies {plan.tally_threshold:.2f}), over all methods a rise of "
        f"{plan.rise:g}, a method's {FAILURE_RATE_INCREASE:g}, trust at {-plan.trust:.2f}",
        f"false alarm {plan.false_alarm:.4f} by the chain, at most {plan.false_alarm_bound:.4f} by Wald",
        "",
        f"{'stage':>5} {'share':>6} {'at least s':>10} {'at most s':>9} {'outcomes':>9}",
    ]
    lines += [
        f"{index:5} {stage.share:6.2f} {stage.least_ms / 1000.0:10.1f} {stage.most_ms / 1000.0:9.1f} "
        f"{stage.outcomes:9.0f}"
        for index, stage in enumerate(plan.stages)
    ]
    lines += ["", f"{'effect':16} {'size':>6} {'released':>9} {'outcomes':>9} {'bound':>7}  told apart"]
    lines += [
        f"{effect.what:16} {effect.size:6.2f} {effect.miss:9.4f} {effect.outcomes:9.0f} {effect.bound:7.0f}  "
        f"{'yes' if effect.seen else 'NO'}"
        for effect in plan.effects
    ]
    least = ", ".join(f"{what} {'none' if size is None else format(size, 'g')}" for what, size in plan.least.items())
    return "\n".join([*lines, "", f"least effect told apart: {least}", *plan.limits])
