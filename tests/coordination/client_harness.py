"""A client beside a group that answers it, without I/O."""

import random
from dataclasses import dataclass, field

from brookreach.coordination.client.client import Client
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.server.watches import Watches
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

TIMING = Timing(lease_ms=3000.0, drift=0.01)
TABLES = {"pots": PotRow, "lids": PotRow}


def client(name="m1", seed=1, watched=("pots",), keepers=("k1", "k2", "k3"), **more):
    return Client(name, "marshal", keepers, TIMING, random.Random(seed), TABLES, watched, **more)


@dataclass
class Group:
    """One leader without a log's delays, as keeper.py is to act towards clients; its clock is `now`."""

    log: Log = field(default_factory=Log)

    def __post_init__(self):
        self.leases, self.watches = SessionLeases(TIMING), Watches(self.log.machine)
        self.log.on_applied = self.watches.took
        self.busy = False

    def hear(self, now, name, message):
        machine, say = self.log.machine, []
        session = machine.session(name)
        if isinstance(message, messages.OpenSession):
            self.watches.gone(name)
            if message.session and message.session != session:
                return [messages.RequestRejected(0, "no session", "", "", 0)]
            if not message.session:
                if session and not self.leases.expired(now, session):
                    return [
                        messages.RequestRejected(0, "busy", "", "", int(self.leases.remaining_ms(now, session)) + 1)
                    ]
                session = self.log.append(encode_command(SessionStarted(name, message.kind), int(now))).index
            self.leases.renew(now, session)
            return [messages.SessionOpened(session, 3000, int(now))]
        if isinstance(message, messages.CloseSession):
            if message.session == session:
                self.end(session)
        elif message.session != session:
            return [messages.RequestRejected(getattr(message, "seq", 0), "no session", "", "", 0)]
        elif isinstance(message, messages.KeepAlive):
            fine = self.leases.renew(now, session)
            say = [
                messages.KeepAliveReply(message.seq, 3000, int(now))
                if fine
                else messages.RequestRejected(message.seq, "no session", "", "", 0)
            ]
        elif isinstance(message, messages.WatchRequest):
            self.watches.watch(name, message.tables, message.since)
        elif self.busy:
            say = [messages.RequestRejected(message.seq, "busy", "", "", 40)]
        elif misfit := machine.check_proposal(message.application, message.version, message.body):
            say = [messages.RequestRejected(message.seq, *misfit, "", 0)]
        else:
            done = self.log.append(encode_proposal(message, int(now), name, "marshal"))
            say = [
                messages.ProposeReply(message.seq, done.index, done.ok, done.text)
                if done.rejection is None
                else messages.RequestRejected(message.seq, done.rejection, done.text, "", 0)
            ]
        return say + [body for to, body in self.watches.out(1 << 20) if to == name]

    def end(self, session):
        self.log.run(SessionEnded(session, "x"))
        self.leases.remove(session)

    def passed(self, now):
        for session in self.leases.expirations_due(now):
            self.end(session)


def talk(now, one, group, rounds=8):
    """All that the two have to say to each other, at once; hands back what the client said."""
    said = []
    one.advance_time(now)
    for _ in range(rounds):
        for keeper, message in one.take_outgoing():
            said.append(message)
            for answer in group.hear(now, one.name, message):
                one.handle_message(now, keeper, answer)
    return said


def kinds(said):
    return [wire_name(one) for one in said]


def mirrored(machine, names=("pots",)):
    """What a mirror of these tables is to be."""
    tables = Tables({name: TABLES[name] for name in names})
    tables.apply_updates(RowUpdate(name, key, row) for name in names for key, row in machine.view.rows(name))
    return tables.digest()
