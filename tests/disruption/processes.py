"""Three replicas, two balancers and agents as processes of the program in one folder, on loopback; stand-ins for the rest."""

import itertools
import json
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio

from brookreach.net.stream import parse_address
from brookreach.simulation import stand_ins
from brookreach.simulation.processes.ports import HOST, PortAllocator

REPLICAS = ("k1", "k2", "k3")
EXAMPLE_CONFIGURATION = Path(__file__).parent.parent.parent / "deploy" / "marshal.json"
DRAIN_GRACE_S = 0.25  # rule 3: from being told of a drain
GROUP_FILE = """
[group]
name = "test"
key = "test.key"
[timing]
beat_ms = 30.0
election_ms = 200.0
lease_ms = 1500.0
[[budget]]
scope = "all"
kind = "node"
most_out = 1
least_ready = 3
"""
REPLICA_ENTRY = """
[[keeper]]
name = "{name}"
listen = "127.0.0.1:{port}"
disk = "{name}"
"""


class LocalFleet:
    """The processes, in a folder and on ports of their own."""

    def __init__(self, folder):
        self.folder, self.processes, self.number = folder, {}, itertools.count(1)
        self.ports = PortAllocator()
        self.file = folder / "fleet.toml"
        keepers = [REPLICA_ENTRY.format(name=name, port=self.ports.allocate()) for name in REPLICAS]
        self.file.write_text(GROUP_FILE + "".join(keepers))
        told = json.loads(EXAMPLE_CONFIGURATION.read_text())
        told["discovery"], told["deployer"]["address"] = self.free_address(), self.free_address()
        for member in told["known"]["members"]:
            member["host_port"] = self.free_address()
        self.node_names = [one["id"] for one in told["known"]["members"]]
        self.balancers = {}
        for name in ("n1", "n2"):
            self.balancers[name] = self.free_address()
            (folder / f"{name}.json").write_text(json.dumps(told | {"name": name, "listen": self.balancers[name]}))
        self.site = stand_ins.Site(told)
        self.nodes = dict(zip(self.node_names, self.site.nodes.values(), strict=True))

    def free_address(self):
        return f"{HOST}:{self.ports.allocate()}"

    def start(self, name, *words):
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "brookreach", *words], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def start_replica(self, name):
        self.start(name, "fleet", "keep", str(self.file), "--keeper", name)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.ports.close()

    async def wait_until(self, true, what, within_s=10.0):
        try:
            with anyio.fail_after(within_s):
                while not true():
                    await anyio.sleep(0.01)
        except TimeoutError:
            logs = "\n".join(f"{name}: {self.log(name)[-600:]}" for name in self.processes)
            raise AssertionError(f"{what} not within {within_s} s\n{logs}") from None

    async def command(self, *words):
        """The program's exit code and what it printed."""
        done = await anyio.run_process([sys.executable, "-m", "brookreach", "fleet", *words], check=False)
        return done.returncode, (done.stdout + done.stderr).decode()

    async def run_ask(self, *words, code=0):
        got, text = await self.command("ask", str(self.file), *words, "--reason", "test")
        assert got == code, text
        return text

    async def read_tables(self):
        code, text = await self.command("show", str(self.file), "--json")
        assert code == 0, text
        return json.loads(text)["tables"]

    async def send_queries(self, name):
        """RPCs on a connection each, one after another."""
        while True:
            text = f"SELECT data FROM facts WHERE code = 'row' /* id={next(self.number):04x},c=look,d=1000 */"
            await stand_ins.asked(parse_address(self.balancers[name]), text)
            await anyio.sleep(0.02)

    def query_count(self, node):
        return sum("facts" in text for text in self.nodes[node].heard)

    def leader(self):
        leads = {}
        for name in REPLICAS:
            if self.processes[name].poll() is None:
                said = re.findall(r"leads, term (\d+)|(follows) ", self.log(name))
                if said and said[-1][0]:
                    leads[int(said[-1][0])] = name
        return leads[max(leads)] if leads else ""


class LocalFleetTestCase(unittest.TestCase):
    def run_fleet(self, fleet_type):
        """Runs `check_fleet` with a fleet, which is closed whatever comes of it."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = fleet_type(Path(folder))
            try:
                anyio.run(self.check_fleet, fleet)
            finally:
                fleet.close()

    async def create_group(self, fleet):
        for words in (("key", str(fleet.folder / "test.key")), ("found", str(fleet.file))):
            code, text = await fleet.command(*words)
            self.assertEqual(code, 0, text)
