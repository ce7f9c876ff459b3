"""One measurement in a process of its own, so that none finds the memory of another: JSON in, JSON out.

`python -m brookreach.scale.marshal_worker`, which `brookreach.scale.marshal_run` starts.
"""

from __future__ import annotations

import sys
from typing import Literal

import msgspec

from brookreach.policy import balancer
from brookreach.scale import marshal_decisions as decisions
from brookreach.scale import marshal_lists as lists
from brookreach.scale.marshal_sizes import Size

What = Literal["timed", "counted", "lists"]


class Request(msgspec.Struct, frozen=True):
    what: What
    size: Size
    rpcs: int
    seed: int


class Reply(msgspec.Struct, frozen=True):
    compiled: bool  # the decisions that were measured
    costs: list[decisions.Cost] = []
    lists: lists.ListCosts | None = None


def reply_to(request: Request) -> Reply:
    compiled = not str(balancer.__file__).endswith(".py")
    match request.what:
        case "timed":
            return Reply(compiled, decisions.timed(request.size, request.rpcs, request.seed))
        case "counted":
            return Reply(compiled, decisions.counted(request.size, request.rpcs, request.seed))
        case "lists":
            return Reply(compiled, lists=lists.measure(request.size))


def main() -> None:
    request = msgspec.json.decode(sys.stdin.buffer.read(), type=Request)
    sys.stdout.buffer.write(msgspec.json.encode(reply_to(request)))


if __name__ == "__main__":
    main()
