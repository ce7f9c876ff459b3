"""Tokens of the timers that the policy sets: `TIMER_KINDS` times the RPC's id, plus what the timer is for."""

from typing import Final

TIMER_KINDS: Final = 4
DEADLINE_TIMER: Final = 0  # the RPC has to be answered now
HEDGE_TIMER: Final = 1  # a hedged pick may be sent now
EVALUATION_TIMER: Final = 2  # of no RPC: periodic evaluation
RETRY_TIMER: Final = 3  # an RPC that no node could take is tried again
