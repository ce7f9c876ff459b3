"""What a timer is for; its token is 4 x RPC + one of these."""

DEADLINE_TIMER, HEDGE_TIMER, EVALUATION_TIMER, RETRY_TIMER = 0, 1, 2, 3
