"""A client beside a cluster of one replica that answers it at once, without I/O."""

import random
from dataclasses import dataclass, field

from brookreach.coordination.client.client import Client
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.server.watches import WatchService
from brookreach.coordination.state_machine.application import RowUpdate
from brookreach.coordination.state_machine.session_leases import SessionLeases
from brookreach.coordination.state_machine.sessions import (
    SessionEnded,
    SessionStarted,
    encode_command,
    encode_proposal,
)
from brookreach.coordination.state_machine.tables import Tables
from brookreach.coordination.timing import Timing
from tests.coordination.machine_harness import Log, PotRow

LEASE_MS = 3000
BUSY_RETRY_AFTER_MS = 40
TIMING = Timing(lease_ms=float(LEASE_MS), drift=0.01)
TABLES = {"pots": PotRow, "lids": PotRow}


def make_client(name="m1", seed=1, watched=("pots",), replicas=("k1", "k2", "k3"), **options):
    return Client(name, "marshal", replicas, TIMING, random.Random(seed), TABLES, watched, **options)


@dataclass
class FakeLeader:
    """A leader that commits at once, as `server.replica` acts towards clients; its clock is `now`."""

    log: Log = field(default_factory=Log)

    def __post_init__(self):
        self.leases = SessionLeases(TIMING)
        self.watches = WatchService(self.log.machine)
        self.log.on_applied = self.watches.on_applied
        self.busy = False

    def handle_message(self, now, name, message):
        """Takes a message of the client `name` and returns what is sent to it."""
        if isinstance(message, messages.OpenSession):
            return [self._open_session(now, name, message)]
        session = self.log.machine.session(name)
        if isinstance(message, messages.CloseSession):
            if message.session == session:
                self.end(session)
            replies = []
        elif message.session != session:
            return [self._reject(getattr(message, "seq", 0), "no session")]
        else:
            replies = self._replies(now, name, session, message)
        return replies + [body for target, body in self.watches.next_messages(1 << 20) if target == name]

    def _open_session(self, now, name, message):
        session = self.log.machine.session(name)
        self.watches.remove(name)
        if message.session and message.session != session:
            return self._reject(0, "no session")
        if not message.session:
            if session and not self.leases.expired(now, session):
                retry_after_ms = int(self.leases.remaining_ms(now, session)) + 1
                return self._reject(0, "busy", retry_after_ms=retry_after_ms)
            session = self.log.append(encode_command(SessionStarted(name, message.kind), int(now))).index
        self.leases.renew(now, session)
        return messages.SessionOpened(session, LEASE_MS, int(now))

    def _replies(self, now, name, session, message):
        match message:
            case messages.KeepAlive():
                if not self.leases.renew(now, session):
                    return [self._reject(message.seq, "no session")]
                return [messages.KeepAliveReply(message.seq, LEASE_MS, int(now))]
            case messages.WatchRequest():
                self.watches.watch(name, message.tables, message.since)
                return []
            case _:
                return [self._propose(now, name, message)]

    def _propose(self, now, name, message):
        if self.busy:
            return self._reject(message.seq, "busy", retry_after_ms=BUSY_RETRY_AFTER_MS)
        rejection = self.log.machine.check_proposal(message.application, message.version, message.body)
        if rejection:
            return self._reject(message.seq, *rejection)
        applied = self.log.append(encode_proposal(message, int(now), name, "marshal"))
        if applied.rejection is not None:
            return self._reject(message.seq, applied.rejection, applied.text)
        return messages.ProposeReply(message.seq, applied.index, applied.ok, applied.text)

    def _reject(self, seq, reason, text="", retry_after_ms=0):
        return messages.RequestRejected(seq, reason, text, "", retry_after_ms)

    def end(self, session):
        self.log.run(SessionEnded(session, "x"))
        self.leases.remove(session)

    def advance_time(self, now):
        for session in self.leases.expirations_due(now):
            self.end(session)


def exchange(now, client, leader, rounds=8):
    """Carries all messages between the two at once; returns those of the client."""
    sent = []
    client.advance_time(now)
    for _ in range(rounds):
        for replica, message in client.take_outgoing():
            sent.append(message)
            for answer in leader.handle_message(now, client.name, message):
                client.handle_message(now, replica, answer)
    return sent


def wire_names(sent):
    return [wire_name(message) for message in sent]


def expected_digest(machine, names=("pots",)):
    """The digest of a cache of these tables that is up to date."""
    tables = Tables({name: TABLES[name] for name in names})
    tables.apply_updates(RowUpdate(name, key, row) for name in names for key, row in machine.view.rows(name))
    return tables.digest()
