"""What breaks in the drill of outages between processes, each by its name, for at most a few seconds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio

from brookreach.coordination.client.events import ReplyReceived
from brookreach.disruption import commands, tables
from brookreach.simulation.processes.application_drill import KEEPERS
from brookreach.simulation.processes.operators import LEASE_S

if TYPE_CHECKING:
    from brookreach.simulation.disruption.process_drill import Play

CUT_S, ASK_S = 1.2, 0.8


class Breaks:
    def __init__(self, play: Play):
        self.play, self.town, self.chance = play, play.town, play.town.chance

    # --- keepers ---

    async def leader_killed(self) -> None:
        await self.town.down([self.town.leader()], self.chance.uniform(0.2, 1.0))

    async def leader_stopped(self) -> None:
        await self.town.stopped(self.town.leader(), LEASE_S * 1.5)

    async def most_keepers_restarted(self) -> None:
        await self.town.down(self.chance.sample(KEEPERS, 2), self.chance.uniform(0.1, 0.6))

    # --- links ---

    async def cut_one_way(self) -> None:
        """What the leader says to another keeper, or a marshal to it, is lost; what comes back is not."""
        leader = self.town.leader()
        others = [one for one in self.town.everyone if one != leader]
        pair = [leader], [self.chance.choice(others)]
        ways = self.town.ways(*(pair if self.chance.random() < 0.5 else pair[::-1]))
        await self.town.link(ways, CUT_S, cut=True)

    async def rough_links(self) -> None:
        """All of them delay and overtake, say things twice, and change bits."""
        await self.town.link(
            list(self.town.relay.ways.values()), CUT_S, delay_ms=10.0, spread_ms=60.0, double=0.2, change=0.01
        )

    # --- marshals and agents ---

    async def marshal_killed(self) -> None:
        await self.town.down([self.chance.choice(self.play.marshals)], 0.3)

    async def agent_stopped(self) -> None:
        """Past its lease, maybe in the middle of a drain; then it wakes and knows nothing of that."""
        await self.town.stopped(self.play.agents[self.chance.choice(self.play.names)], LEASE_S * 1.8)

    async def marshals_at_once(self) -> None:
        """One has a permit to restart; all are ended and begin again. Its permit ends as it is back."""
        town, play = self.town, self.play
        name = f"r{play.drains}"
        order = commands.RequestRestart(name, self.chance.choice(play.marshals), 5, "drill")
        await play.bob.ask("outages", order)
        for one in play.marshals:
            code = await anyio.to_thread.run_sync(town.children.all[one].end)
            town.look("SIGTERM ends it with 0", code == 0, lambda one=one, code=code: f"{one} ends with {code}")
        town.start(play.marshals)

        def back() -> bool:
            marshals = dict(play.eye.client.cache.rows(tables.BALANCERS))
            permit = play.eye.client.cache.get(tables.PERMITS, name)
            return all(one in marshals and marshals[one].status == "ready" for one in play.marshals) and (
                permit is None or permit.state not in ("given", "returning")
            )

        await town.until(back, "marshals come back, their permit ends", why=play.lacks)

    # --- operators ---

    async def same_drain(self) -> None:
        """Both ask for the same by the same name at once: one permit, and both hear so or are refused."""
        name, answers = f"same{self.play.drains}", list[ReplyReceived | None]()
        order = commands.RequestDrain(name, self.chance.choice(self.play.names), 5, "drill")

        async def ask(one: Any) -> None:
            answers.append(await one.ask("outages", order))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, self.play.ann)
            tasks.start_soon(ask, self.play.bob)
        agreed = [one for one in answers if one is not None and one.ok]
        if agreed:
            await self.play.come_to(max(one.index for one in agreed))
            self.town.look("one permit by one name", name in self.play.watch.seen, lambda: f"{name}: {answers}")

    async def halt_and_old_fence(self) -> None:
        """A halt, again a halt; the first one's fence lifts nothing."""
        play = self.play
        old, new = await self.halt(play.ann), await self.halt(play.bob)
        if not old or not new:
            return
        answer = await play.ann.ask("outages", commands.Resume(old, "drill"))
        self.town.look("an old fence lifts nothing", answer is None or not answer.ok, lambda: f"{old}: {answer}")
        await anyio.sleep(0.5)  # meanwhile drains are asked for
        halt = play.eye.client.cache.get(tables.HALT, "all")
        self.town.look("an old fence lifts nothing", halt is not None and halt.fence == new, lambda: f"{new}: {halt}")
        await play.resume()

    async def halt(self, one: Any) -> int:
        """Its fence as it was acknowledged, 0 where that is not known."""
        answer = await one.ask("outages", commands.Halt("drill"))
        if answer is None or not answer.ok:
            return 0
        await self.play.come_to(answer.index)
        halt = self.play.eye.client.cache.get(tables.HALT, "all")
        self.town.look(
            "an acknowledged halt stands",
            halt is not None and halt.fence >= answer.index,
            lambda: f"halt {answer.index}, agreed; {halt} stands",
        )
        return int(answer.index)

    async def halt_on_losing_side(self) -> None:
        """The old leader with one operator on one side of a cut, all others on the other one."""
        play, town = self.play, self.town
        leader = town.leader()
        lesser = [leader, "bob"]
        others = [one for one in town.everyone if one not in lesser]
        ways = [*town.ways(lesser, others), *town.ways(others, lesser)]
        for way in ways:
            way.cut = True
        await anyio.sleep(0.05)
        before = len(play.ann.all)
        seq = play.bob.say("outages", commands.Halt("from the losing side"))
        await town.until(
            lambda: len(play.ann.all) > before, "the greater half goes on", why=lambda: f"{leader} is cut off"
        )
        await anyio.sleep(ASK_S)
        early = play.bob.answers.get(seq)  # not asked at all is an answer too
        town.look(
            "nothing is agreed by the lesser half",
            early is None or not early.index,
            lambda: f"{early} while {leader} was cut off",
        )
        for way in ways:
            way.calm()
        await town.until(lambda: seq in play.bob.answers, "who asked on the losing side hears of it")
        answer = play.bob.answers.get(seq)
        if answer is not None and answer.ok:
            await play.come_to(answer.index)
            town.look("an acknowledged halt stands", answer.index in play.watch.halts, lambda: f"{answer}")
        await play.resume()


BREAKS: dict[str, Callable[[Breaks], Awaitable[None]]] = {
    "leader killed": Breaks.leader_killed,
    "leader stopped past its lease": Breaks.leader_stopped,
    "most keepers restarted": Breaks.most_keepers_restarted,
    "a link cut one way": Breaks.cut_one_way,
    "links delay, double, change": Breaks.rough_links,
    "a marshal killed": Breaks.marshal_killed,
    "an agent stopped past its lease": Breaks.agent_stopped,
    "all marshals restarted at once": Breaks.marshals_at_once,
    "the same drain asked twice": Breaks.same_drain,
    "a resume by an old fence": Breaks.halt_and_old_fence,
    "a halt on the losing side": Breaks.halt_on_losing_side,
}
