"""Faults of the drill between processes, each by its name, for at most a few seconds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio

from brookreach.coordination.client.events import ReplyReceived
from brookreach.disruption import commands
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.halt import current_halt
from brookreach.simulation.disruption.process_fleet import ProcessFleet
from brookreach.simulation.processes.application_drill import KEEPERS
from brookreach.simulation.processes.operators import LEASE_S, Operator

LINK_FAULT_S = 1.2
SETTLE_S = 0.8  # in which a minority could agree on something wrongly
PARTITION_DELAY_S = 0.05
HALT_S = 0.5
BALANCER_DOWN_S = 0.3
URGENCY = 5
OLD_FENCE_RULE = "an old fence lifts nothing"
HALT_RULE = "an acknowledged halt stands"


class FaultInjector:
    """Injects faults into a fleet, and checks what each must not bring about."""

    def __init__(self, fleet: ProcessFleet):
        self.fleet = fleet
        self.town = fleet.town
        self.random = fleet.town.chance

    # --- replicas ---

    async def kill_leader(self) -> None:
        """It starts again within a second."""
        await self.town.down([self.town.leader()], self.random.uniform(0.2, 1.0))

    async def pause_leader(self) -> None:
        """For longer than its lease."""
        await self.town.stopped(self.town.leader(), LEASE_S * 1.5)

    async def restart_majority(self) -> None:
        """Two replicas at once."""
        await self.town.down(self.random.sample(KEEPERS, 2), self.random.uniform(0.1, 0.6))

    # --- links ---

    async def cut_one_way(self) -> None:
        """What the leader sends to another process, or that to the leader, is lost; the other way works."""
        leader = self.town.leader()
        others = [name for name in self.town.everyone if name != leader]
        other = self.random.choice(others)
        source, target = (leader, other) if self.random.random() < 0.5 else (other, leader)
        await self.town.link(self.town.ways([source], [target]), LINK_FAULT_S, cut=True)

    async def degrade_links(self) -> None:
        """All of them delay, reorder and duplicate, and change bits."""
        links = list(self.town.relay.ways.values())
        await self.town.link(links, LINK_FAULT_S, delay_ms=10.0, spread_ms=60.0, double=0.2, change=0.01)

    # --- balancers and agents ---

    async def kill_balancer(self) -> None:
        """It starts again at once."""
        await self.town.down([self.random.choice(self.fleet.balancers)], BALANCER_DOWN_S)

    async def pause_agent(self) -> None:
        """Past its lease, maybe in the middle of a drain; then it goes on and knows nothing of that."""
        node = self.random.choice(self.fleet.nodes)
        await self.town.stopped(self.fleet.agents[node], LEASE_S * 1.8)

    async def restart_all_balancers(self) -> None:
        """One has a permit to restart; all are ended and start again. The permit ends as its balancer is back."""
        fleet = self.fleet
        name = f"r{fleet.drain_count}"
        request = commands.RequestRestart(name, self.random.choice(fleet.balancers), URGENCY, "drill")
        await fleet.bob.ask(APPLICATION.name, request)
        for balancer in fleet.balancers:
            await self._terminate(balancer)
        self.town.start(fleet.balancers)
        await self.town.until(
            lambda: fleet.balancers_are_ready() and not fleet.permit_is_active(name),
            "marshals come back, their permit ends",
            why=fleet.unsettled,
        )

    async def _terminate(self, balancer: str) -> None:
        code = await anyio.to_thread.run_sync(self.town.children.all[balancer].end)
        self.town.look("SIGTERM ends it with 0", code == 0, lambda: f"{balancer} ends with {code}")

    # --- operators ---

    async def request_same_drain(self) -> None:
        """Both operators request the same permit at once: there is one, and each is told so or rejected."""
        name = f"same{self.fleet.drain_count}"
        request = commands.RequestDrain(name, self.random.choice(self.fleet.nodes), URGENCY, "drill")
        answers: list[ReplyReceived | None] = []

        async def send(operator: Operator) -> None:
            answers.append(await operator.ask(APPLICATION.name, request))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, self.fleet.ann)
            tasks.start_soon(send, self.fleet.bob)
        accepted = [answer.index for answer in answers if answer is not None and answer.ok]
        if accepted:
            await self.fleet.wait_until_observed(max(accepted))
            self.town.look("one permit by one name", name in self.fleet.observer.permits, lambda: f"{name}: {answers}")

    async def resume_by_old_fence(self) -> None:
        """Of two halts the first one's fence resumes nothing."""
        fleet = self.fleet
        old_fence = await self._halt(fleet.ann)
        fence = await self._halt(fleet.bob)
        if not old_fence or not fence:
            return
        answer = await fleet.ann.ask(APPLICATION.name, commands.Resume(old_fence, "drill"))
        is_rejected = answer is None or not answer.ok
        self.town.look(OLD_FENCE_RULE, is_rejected, lambda: f"{old_fence}: {answer}")
        await anyio.sleep(HALT_S)  # meanwhile drains are requested
        halt = current_halt(fleet.cache)
        is_current = halt is not None and halt.fence == fence
        self.town.look(OLD_FENCE_RULE, is_current, lambda: f"{fence}: {halt}")
        await fleet.resume()

    async def _halt(self, operator: Operator) -> int:
        """The halt's fence as it was acknowledged, 0 where that is not known."""
        answer = await operator.ask(APPLICATION.name, commands.Halt("drill"))
        if answer is None or not answer.ok:
            return 0
        index = answer.index
        await self.fleet.wait_until_observed(index)
        halt = current_halt(self.fleet.cache)
        is_current = halt is not None and halt.fence >= index
        self.town.look(HALT_RULE, is_current, lambda: f"halt {index}, agreed; {halt} stands")
        return index

    async def halt_in_minority(self) -> None:
        """The leader with one operator on one side of a partition, all others on the other one."""
        fleet = self.fleet
        town = self.town
        leader = town.leader()
        minority = [leader, fleet.bob.name]
        majority = [name for name in town.everyone if name not in minority]
        links = [*town.ways(minority, majority), *town.ways(majority, minority)]
        for link in links:
            link.cut = True
        await anyio.sleep(PARTITION_DELAY_S)
        sequence = fleet.bob.say(APPLICATION.name, commands.Halt("from the losing side"))
        await self._check_minority(leader, sequence)
        for link in links:
            link.calm()
        await town.until(lambda: sequence in fleet.bob.answers, "who asked on the losing side hears of it")
        answer = fleet.bob.answers.get(sequence)
        if answer is not None and answer.ok:
            await fleet.wait_until_observed(answer.index)
            town.look(HALT_RULE, answer.index in fleet.observer.halt_fences, lambda: f"{answer}")
        await fleet.resume()

    async def _check_minority(self, leader: str, sequence: int) -> None:
        """The majority goes on; a command that was sent to the minority is not agreed."""
        fleet = self.fleet
        answered = len(fleet.ann.all)
        await self.town.until(
            lambda: len(fleet.ann.all) > answered, "the greater half goes on", why=lambda: f"{leader} is cut off"
        )
        await anyio.sleep(SETTLE_S)
        answer = fleet.bob.answers.get(sequence)  # without an answer it was not proposed at all
        self.town.look(
            "nothing is agreed by the lesser half",
            answer is None or not answer.index,
            lambda: f"{answer} while {leader} was cut off",
        )


Fault = Callable[[FaultInjector], Awaitable[None]]

FAULTS: Mapping[str, Fault] = {
    "leader killed": FaultInjector.kill_leader,
    "leader stopped past its lease": FaultInjector.pause_leader,
    "most keepers restarted": FaultInjector.restart_majority,
    "a link cut one way": FaultInjector.cut_one_way,
    "links delay, double, change": FaultInjector.degrade_links,
    "a marshal killed": FaultInjector.kill_balancer,
    "an agent stopped past its lease": FaultInjector.pause_agent,
    "all marshals restarted at once": FaultInjector.restart_all_balancers,
    "the same drain asked twice": FaultInjector.request_same_drain,
    "a resume by an old fence": FaultInjector.resume_by_old_fence,
    "a halt on the losing side": FaultInjector.halt_in_minority,
}


def fault_order(chosen: Sequence[str], injector: FaultInjector) -> list[str]:
    """The chosen faults in that order; where none is chosen, all of them in one by the seed."""
    names = list(chosen or FAULTS)
    if not chosen:
        injector.random.shuffle(names)
    return names
