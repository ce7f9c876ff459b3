"""Bad clients send hundreds of commands at once; meanwhile nodes drain. Until when do nodes get new work?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig as stand_ins  # noqa: E402

BAD_CLIENTS, PROCESSES = 480, 2
GRACE_S = 0.25 + 0.05  # every time limit on sockets is 50 ms longer
DRAINS = 8


async def case(rig: stand_ins.Rig) -> int:
    await rig.add_nodes(12, 7, 0.02)
    await rig.start()
    stopping = asyncio.Event()
    answers: dict[str, int] = {}

    async def client() -> None:
        connection = await stand_ins.ClientConnection(rig).open()
        await connection.welcome()
        while not stopping.is_set():
            request_id, statement = rig.statement("posti", 3000)
            connection.send(statement)
            rig.record(f"client sends {request_id}")
            answer = await connection.answer()
            rig.record(f"client hears {request_id} {answer.word} {answer.code}")
            answers[answer.word] = answers.get(answer.word, 0) + 1
            if answer.word == "closed":
                connection.close()
                connection = await stand_ins.ClientConnection(rig).open()
                await connection.welcome()
            await asyncio.sleep(0.03)

    clients = [asyncio.create_task(client()) for _ in range(40)]
    await asyncio.sleep(2.0)
    if stand_ins.trouble():
        rig.record(f"{BAD_CLIENTS} bad clients begin, 300 commands at once each")
        program = str(FOLDER.parent / "common-2" / "bad_clients.py")
        for _ in range(PROCESSES):
            rig.helper(program, str(rig.listen_port), str(BAD_CLIENTS // PROCESSES), "14")
    await asyncio.sleep(4.0)
    for number in range(DRAINS):
        rig.discovery.change(rig.nodes[f"s-{number}"], "leaving")
        await asyncio.sleep(1.2)
    stopping.set()
    await asyncio.wait(clients, timeout=5)
    told = {number: rig.discovery.told.get(f"s-{number} leaving") for number in range(DRAINS)}
    if None in told.values():
        raise stand_ins.CannotRun("a drain was not told")
    bound = GRACE_S + rig.lag_s
    after = [one.first - told[number] for number in told for one in rig.attempts if one.node == f"s-{number}"]
    late = [seconds for seconds in after if seconds > bound]
    stand_ins.say(
        rig,
        f"{len(rig.attempts)} attempts, answers {answers}; {len(late)} attempts at a draining node begun later than "
        f"{bound:.3f} s after its drain was written, the latest {max([0.0, *after]):.3f} s",
    )
    return stand_ins.BROKEN if late else stand_ins.HELD


stand_ins.play(FOLDER, stand_ins.Rig(FOLDER), case)
