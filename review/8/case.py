"""The balancer is held up once, for 0.15 s; meanwhile its vote is answered and, 50 ms later, the build is taken off."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig as stand_ins  # noqa: E402

HELD_UP_S = 0.145  # the pages: up to 0.15 s
REQUESTS_PER_S = 80
CAP = 0.168
# A lower cap binds once the grace for drains has passed, 150 ms later on sockets, and 50 ms for every time limit.
BINDS_AFTER_S = 0.25 + 0.15 + 0.05
PASSED = 2  # attempts beyond the cap that pass


async def case(rig: stand_ins.Rig) -> int:
    await rig.add_nodes(7, 7, 0.02)
    await rig.add_nodes(1, 8, 0.02, "t")
    platform = rig.platform
    platform.set(8, 1, "Progressing", CAP)
    voted, answer_vote = asyncio.Event(), asyncio.Event()
    ready = asyncio.Event()  # from now on a vote is taken for the case

    async def on_vote(ballot: dict, writer: asyncio.StreamWriter) -> None:
        if not ready.is_set() or voted.is_set():
            writer.write(stand_ins.http_answer(409 if platform.status != "Progressing" else 200, platform.state()))
            return
        voted.set()
        await answer_vote.wait()
        writer.write(stand_ins.http_answer(200, platform.state()))
        rig.record(f"platform writes the answer to the vote {platform.state()}")

    platform.on_vote = on_vote
    await rig.start()
    stopping = asyncio.Event()

    async def client(number: int) -> None:
        connection = await stand_ins.ClientConnection(rig).open()
        await connection.welcome()
        await asyncio.sleep(number * 0.01)
        while not stopping.is_set():
            request_id, statement = rig.statement("posti", 1500)
            connection.send(statement)
            answer = await connection.answer()
            rig.record(f"client hears {request_id} {answer.word} {answer.code}")
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(REQUESTS_PER_S // 8)]
    await asyncio.sleep(5.0)  # the first window after a start sends little to a build on trial
    ready.set()
    try:
        await asyncio.wait_for(voted.wait(), 15)
    except TimeoutError:
        raise stand_ins.CannotRun("the balancer did not vote") from None
    if stand_ins.trouble():
        rig.signal(signal.SIGSTOP)
    began = time.monotonic()
    await asyncio.sleep(0.02)
    answer_vote.set()
    await asyncio.sleep(0.05)
    platform.set(8, 1, "Aborting", 0.0)
    platform.tell()
    told = time.monotonic()
    await asyncio.sleep(max(0.0, HELD_UP_S - (time.monotonic() - began)))
    if stand_ins.trouble():
        rig.signal(signal.SIGCONT)
        if time.monotonic() - began > 0.16:
            raise stand_ins.CannotRun("the hold-up took longer than the pages allow")
    await asyncio.sleep(6.0)
    stopping.set()
    await asyncio.gather(*clients)
    bound = BINDS_AFTER_S + rig.lag_s
    before = sum(one.build == 8 and one.last <= told for one in rig.attempts)
    late = [one for one in rig.attempts if one.build == 8 and one.last - told > bound]
    stand_ins.say(
        rig,
        f"{before} attempts at build 8 before it was taken off; {len(late)} later than {bound:.3f} s after cap 0 was "
        f"written, the last {max([one.last - told for one in late], default=0.0):.3f} s after",
    )
    return stand_ins.BROKEN if len(late) > PASSED else stand_ins.HELD


stand_ins.play(FOLDER, stand_ins.Rig(FOLDER), case)
