"""Discovery, which serves all balancers and is asked, is down for 8 s; a node leaves meanwhile. Until when is it sent work?"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig as stand_ins  # noqa: E402

DOWN_S = 8.0  # the pages: 8 s
TOLD_AFTER_S = 6.0  # after discovery had the change and could be reached
GRACE_S = 0.25 + 0.05  # for drains; every time limit on sockets is 50 ms longer
AFTER_S = 22.0  # played on after the return
SEEDS = ("8c1f30d27a5be964", "1b7e44c90d2a6f35", "f02d9a6b71c3e858", "5a90c7e2148bd36f")
SETTINGS = {"registryMode": "ask", "balancers": 40}


async def case(first: stand_ins.Rig) -> int:
    rigs = [first, *[stand_ins.Rig(FOLDER, SETTINGS, seed=seed, record=first.record) for seed in SEEDS[1:]]]
    first.others = rigs[1:]
    stopping = asyncio.Event()

    async def client(rig: stand_ins.Rig) -> None:
        connection = await stand_ins.ClientConnection(rig).open()
        await connection.welcome()
        while not stopping.is_set():
            request_id, statement = rig.statement("posti", 1500)
            connection.send(statement)
            rig.record(f"client of {rig.process.pid} sends {request_id}")
            answer = await connection.answer()
            rig.record(f"client of {rig.process.pid} hears {request_id} {answer.word} {answer.code}")
            if answer.word == "closed":
                connection = await stand_ins.ClientConnection(rig).open()
                await connection.welcome()
            await asyncio.sleep(0.1)

    for rig in rigs:
        await rig.add_nodes(4, 7, 0.02)
        await rig.start()
    clients = [asyncio.create_task(client(rig)) for rig in rigs for _ in range(3)]
    await asyncio.sleep(3.0)
    if stand_ins.trouble():
        for rig in rigs:
            rig.discovery.go_down()
    await asyncio.sleep(DOWN_S / 2)
    for rig in rigs:
        rig.discovery.change(rig.nodes["s-0"], "leaving")
    first.record("discovery has it that s-0 leaves")
    reached = time.monotonic()
    await asyncio.sleep(DOWN_S / 2)
    if stand_ins.trouble():
        for rig in rigs:
            await rig.discovery.come_back()
        reached = time.monotonic()
    await asyncio.sleep(AFTER_S)
    stopping.set()
    await asyncio.wait(clients, timeout=3)
    bound = TOLD_AFTER_S + GRACE_S + first.lag_s
    broken = 0
    for rig in rigs:
        late = [one.first - reached for one in rig.attempts if one.node == "s-0" and one.first - reached > bound]
        told = rig.discovery.told.get("s-0 leaving")
        broken += bool(late)
        stand_ins.say(
            first,
            f"process {rig.process.pid}: {len(late)} attempts at s-0 later than {bound:.3f} s after discovery had the change "
            f"and could be reached, the last {max(late, default=0.0):.3f} s; it asked, and was told "
            + (f"after {told - reached:.3f} s" if told else "nothing"),
        )
    stand_ins.say(first, f"{broken} of {len(rigs)} balancers broke the rule")
    return stand_ins.BROKEN if broken else stand_ins.HELD


stand_ins.play(FOLDER, stand_ins.Rig(FOLDER, SETTINGS, seed=SEEDS[0]), case)
