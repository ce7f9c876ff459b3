"""The incarnations of members on a node: at most one of each member lives, and none below its fencing token.

It owns the fence at the node: for each member the highest fencing token heard of, below which nothing is ever started
again. It must never report anything that it stopped before the node said so.
"""

from __future__ import annotations

from brookreach.gang_scheduling.agent.actions import (
    ExtendGrants,
    KillMember,
    RunMember,
    SaveCheckpoint,
    StartMember,
)
from brookreach.gang_scheduling.agent.fencing import FencingTokens
from brookreach.gang_scheduling.agent.member_process import MemberProcess, ProcessState
from brookreach.gang_scheduling.agent.outputs import AgentOutputs
from brookreach.gang_scheduling.agent_tasks import AgentTask, TaskKind
from brookreach.gang_scheduling.commands import ConfirmCheckpoint, ReportFailed, ReportStarted, ReportStopped
from brookreach.gang_scheduling.member_key import MemberKey

MAX_REASON_LENGTH = 400


class MemberSupervisor:
    """Starts, runs, saves and ends incarnations as tasks say. Whether a task may be carried out is checked before.

    Attributes:
        running: Incarnations that may live, also those that are being killed.
        pending_starts: Tasks to start an incarnation once the older one has ended.
    """

    def __init__(self, node: str, node_incarnation: int, outputs: AgentOutputs) -> None:
        self.running: dict[MemberKey, MemberProcess] = {}
        self.pending_starts: dict[MemberKey, AgentTask] = {}
        self._node = node
        self._node_incarnation = node_incarnation
        self._outputs = outputs
        self._replies = outputs.replies
        self._fencing_tokens = FencingTokens()
        self._grant_until_ms = 0.0

    def set_grant(self, until_ms: float) -> None:
        """Lets what runs, and what is started later, work up to this moment of the node's clock."""
        self._grant_until_ms = until_ms
        if self.running:
            self._outputs.actions.append(ExtendGrants(until_ms))

    def clear_pending_starts(self) -> list[AgentTask]:
        """Returns the tasks whose incarnations are not to be started any more, by member, and forgets them."""
        tasks = [task for _, task in sorted(self.pending_starts.items())]
        self.pending_starts.clear()
        return tasks

    def kill_all(self) -> None:
        """Ends all that runs."""
        for key, process in sorted(self.running.items()):
            self._kill(key, process)

    def _kill(self, key: MemberKey, process: MemberProcess) -> None:
        if process.state != ProcessState.DYING:
            process.enter(ProcessState.DYING)
            self._outputs.actions.append(KillMember(key, process.fencing_token))

    # --- tasks ---

    def handle_start(self, task: AgentTask) -> None:
        """Starts an incarnation above every fencing token heard of, once the older one has ended."""
        key = MemberKey(task.gang, task.member)
        process = self.running.get(key)
        pending = self.pending_starts.get(key)
        if pending is not None and pending.token == task.token:
            return
        is_same = process is not None and process.fencing_token == task.fencing_token
        if process is not None and is_same and process.state == ProcessState.LOADING:
            process.add_waiting(task.token)
            return
        highest = self._fencing_tokens.highest(key)
        if task.fencing_token <= highest:
            self._reject(task, f"fence {task.fencing_token}; {highest} was heard of")
            return
        self._fencing_tokens.note(key, task.fencing_token, self.running)
        if pending is not None:
            self._reject(pending, f"fence {task.fencing_token} came before it was started")
        self.pending_starts[key] = task
        if process is None:
            self.start_pending(key)
        else:
            self._kill(key, process)

    def start_pending(self, key: MemberKey) -> None:
        """Starts what waits for the end of an older incarnation, if anything does."""
        task = self.pending_starts.pop(key, None)
        if task is None:
            return
        self.running[key] = MemberProcess(task.fencing_token, task.epoch, waiting_tokens=[task.token])
        self._outputs.actions.append(StartMember(key, task.fencing_token, task.epoch, self._grant_until_ms))

    def handle_stop(self, task: AgentTask) -> None:
        """Ends every incarnation up to a fencing token, and refuses to start any of them later."""
        key = MemberKey(task.gang, task.member)
        self._fencing_tokens.note(key, task.fencing_token, self.running)
        pending = self.pending_starts.get(key)
        if pending is not None and pending.fencing_token <= task.fencing_token:
            del self.pending_starts[key]
            self._reject(pending, f"stopped by fence {task.fencing_token}")
        process = self.running.get(key)
        if process is None or process.fencing_token > task.fencing_token:
            self._report_stopped(key, task.fencing_token, [task.token])
            return
        process.add_waiting(task.token)
        self._kill(key, process)

    def handle_active_task(self, task: AgentTask) -> None:
        """Runs or saves the incarnation of this very token, and never goes back to an older epoch."""
        process = self.running.get(MemberKey(task.gang, task.member))
        if process is None or process.fencing_token != task.fencing_token:
            self._reject(task, f"fence {task.fencing_token} does not work here")
            self.repeat_report(task)
        elif process.state == ProcessState.DYING:
            self._reject(task, f"fence {task.fencing_token} does not work here")
        elif process.state == ProcessState.LOADING:
            self._replies.postpone(task.token, "still loading")
        elif task.kind == TaskKind.RUN:
            self._run(process, task)
        else:
            self._save(process, task)

    def _run(self, process: MemberProcess, task: AgentTask) -> None:
        if task.epoch < process.epoch:
            self._reject(task, f"epoch {task.epoch}; {process.epoch} was asked for since")
            return
        self._finish_waiting(process, ok=False, text="given up")
        process.epoch = task.epoch
        process.enter(ProcessState.WORKING)
        self._outputs.actions.append(RunMember(MemberKey(task.gang, task.member), process.fencing_token, task.epoch))
        self._replies.finish(task.token, ok=True, text="works")

    def _save(self, process: MemberProcess, task: AgentTask) -> None:
        if task.epoch > process.epoch:
            process.epoch = task.epoch
            process.enter(ProcessState.SAVING)
            process.waiting_tokens = [task.token]
            key = MemberKey(task.gang, task.member)
            self._outputs.actions.append(SaveCheckpoint(key, process.fencing_token, task.epoch))
        elif task.epoch == process.epoch and process.state == ProcessState.SAVING:
            process.add_waiting(task.token)
        else:
            self._reject(task, f"epoch {task.epoch}; {process.epoch} was heard of")

    # --- the node's events ---

    def on_loaded(self, key: MemberKey, fencing_token: int) -> None:
        """Notes that an incarnation is restored."""
        process = self.running.get(key)
        if process is None or process.fencing_token != fencing_token or process.state != ProcessState.LOADING:
            return
        process.enter(ProcessState.READY)
        self._outputs.reports.append(ReportStarted(key.gang, key.number, fencing_token))
        self._finish_waiting(process, ok=True, text="loaded")

    def on_saved(self, key: MemberKey, fencing_token: int, epoch: int, work_ms: int) -> None:
        """Notes that an incarnation's work is stored, away from the node."""
        process = self.running.get(key)
        if process is None or process.fencing_token != fencing_token:
            return
        if process.epoch != epoch or process.state != ProcessState.SAVING:
            return
        process.enter(ProcessState.SAVED)
        process.checkpointed_work_ms = work_ms
        self._outputs.reports.append(self._confirmation(key, process))
        self._finish_waiting(process, ok=True, text=f"epoch {epoch}, work {work_ms}")

    def remove(self, key: MemberKey, fencing_token: int) -> MemberProcess | None:
        """Removes an incarnation that the node says has ended; None where it is not the one that runs."""
        process = self.running.get(key)
        if process is None or process.fencing_token != fencing_token:
            return None
        return self.running.pop(key)

    def report_end(self, key: MemberKey, process: MemberProcess, reason: str) -> None:
        """Reports an incarnation that has ended, by a kill or by itself."""
        if process.state == ProcessState.DYING:
            stop_tokens = [token for token in process.waiting_tokens if token.startswith(f"{TaskKind.STOP}.")]
            self._report_stopped(key, process.fencing_token, stop_tokens)
            self._finish_waiting(process, ok=False, text="stopped")
            return
        report = ReportFailed(key.gang, key.number, process.fencing_token, reason[:MAX_REASON_LENGTH])
        self._outputs.reports.append(report)
        self._finish_waiting(process, ok=False, text=reason)

    # --- reports and replies ---

    def _report_stopped(self, key: MemberKey, fencing_token: int, tokens: list[str]) -> None:
        """Reports every token up to this one, which can't be started here any more."""
        self._outputs.reports.append(ReportStopped(key.gang, key.number, fencing_token))
        for token in tokens:
            self._replies.finish(token, ok=True, text=f"stopped up to fence {fencing_token}")

    def _confirmation(self, key: MemberKey, process: MemberProcess) -> ConfirmCheckpoint:
        return ConfirmCheckpoint(
            key.gang,
            key.number,
            process.epoch,
            self._node,
            self._node_incarnation,
            process.fencing_token,
            process.checkpointed_work_ms,
        )

    def repeat_report(self, task: AgentTask) -> None:
        """Reports again on a task that still stands though it was carried out: the report has not been taken."""
        key = MemberKey(task.gang, task.member)
        process = self.running.get(key)
        token = task.fencing_token
        if task.kind == TaskKind.STOP:
            if process is None or process.fencing_token > token:
                self._outputs.reports.append(ReportStopped(key.gang, key.number, token))
        elif process is None or process.fencing_token != token:
            self._fencing_tokens.note(key, token, self.running)  # nor is it ever started now
            self._outputs.reports.append(ReportFailed(key.gang, key.number, token, "it does not work here any more"))
        elif task.kind == TaskKind.START and process.state in (ProcessState.READY, ProcessState.WORKING):
            self._outputs.reports.append(ReportStarted(key.gang, key.number, token))
        elif task.kind == TaskKind.CHECKPOINT and process.state == ProcessState.SAVED and process.epoch == task.epoch:
            self._outputs.reports.append(self._confirmation(key, process))

    def _finish_waiting(self, process: MemberProcess, *, ok: bool, text: str) -> None:
        for token in process.waiting_tokens:
            if not self._replies.is_final(token):
                self._replies.finish(token, ok=ok, text=text)
        process.waiting_tokens = []

    def _reject(self, task: AgentTask, text: str) -> None:
        self._replies.finish(task.token, ok=False, text=text)
