"""The configuration at the start and reloaded by SIGHUP, and the limits derived from it, compared with kept traces.

Guards against a reload that drops RPCs under way or moves to half of a configuration, and against a start that fails
with a traceback instead of one line.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile

from brookreach.net import pgwire
from brookreach.net.limits import limits_from
from brookreach.net.stream import parse_address

from .helpers import NEWS, SETTINGS, TraceCase, run_story, until


class ConfigurationTest(TraceCase):
    def test_reload(self):
        async def story(deployment):
            client, log = await deployment.client(), deployment.runtime.report.lines
            await deployment.answer(client)
            await until(lambda: deployment.discovery.calls and deployment.platform.calls)
            await client[0].send(b"".join(pgwire.query_message(b"SELECT 'nothing' /* id=0b,c=look,d=700 */")))
            await until(lambda: len(deployment.node.heard) == 1)
            addresses = {name: deployment.at[name] for name in ("discovery", "platform")}
            for case, text in (
                ("no JSON", "{"),
                ("no discovery", deployment.config(discovery="")),
                ("no platform", deployment.config(deployer={})),
                ("others", deployment.config(listen="127.0.0.1:1", name="n2")),
            ):
                lines_before = len(log)
                deployment.configure(text)
                os.kill(os.getpid(), signal.SIGHUP)
                await until(lambda start=lines_before: any("configuration" in line for line in log[start:]))
                logged = [line for line in log[lines_before:] if "configuration" in line][0]
                for varying in (deployment.folder, *(str(parse_address(text)) for text in addresses.values())):
                    logged = logged.replace(varying, "")
                deployment.trace.append(f"{case}: {logged}")
            discovery_calls = len(deployment.discovery.calls)
            platform_calls = len(deployment.platform.calls)
            await deployment.move_services()
            deployment.node_phase, deployment.revision = "leaving", 2
            deployment.configure(deployment.config())
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGHUP)
            await until(
                lambda: deployment.runtime.discovery.version == 2 and len(deployment.platform.calls) > platform_calls
            )
            deployment.trace.append(
                f"moved: discovery {deployment.discovery.calls[discovery_calls]}, "
                f"platform {deployment.platform.calls[platform_calls]}"
            )
            states = [
                endpoint.listed.entry.state.name for endpoint in deployment.runtime.driver.nodes.endpoints.values()
            ]
            deployment.trace.append(f"  nodes as told there: {states}")
            deployment.trace.append(f"RPC under way: {await deployment.answer(client)}")

        self.compare("configured", [line for line in run_story(story) if "module" not in line])

    def test_limits(self):
        trace = []
        for memory_mb in (32, 64, 192):
            for sockets in (256, 384, 1024):
                limits = limits_from({"memory_mb": memory_mb, "sockets": sockets}, SETTINGS)
                self.assertGreater(limits.max_clients, sockets // 3)  # clients may hold as many for RPCs alone
                self.assertLess(limits.max_clients + limits.max_links + 20, sockets)
                trace.append(
                    f"{memory_mb} MB, {sockets} descriptors: clients {limits.max_clients}, links {limits.max_links}, "
                    f"large {limits.large_message_bytes // 1024} KiB each"
                )
        self.compare("limits", trace)

    def test_an_invalid_configuration_is_refused_in_one_line(self):
        valid = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "seed": "0",
            "limits": {"sockets": 256, "memory_mb": 64},
            "deployer": {"address": "127.0.0.1:3", "news": NEWS},
            "known": {"revision": 1, "complete": True, "members": []},
            "settings": SETTINGS,
        }
        trace = []
        with tempfile.TemporaryDirectory() as folder:
            for case, change in (
                ("absent", None),
                ("no JSON", "{"),
                ("a list", "[]"),
                ("no limits", {"limits": {}}),
                ("few sockets", {"limits": {"sockets": 30, "memory_mb": 64}}),
                ("seed", {"seed": "xyz"}),
                ("listen", {"listen": "here"}),
                ("settings", {"settings": {}}),
                ("news", {"deployer": {"address": "127.0.0.1:3"}}),
            ):
                path = os.path.join(folder, "config.json")
                if change is not None:
                    with open(path, "w") as file:
                        file.write(change if isinstance(change, str) else json.dumps(valid | change))
                result = subprocess.run(
                    [sys.executable, "-m", "brookreach"],
                    capture_output=True,
                    text=True,
                    env={**os.environ, "PROXY_CONFIG": path},
                )
                errors = result.stderr.replace(folder, "").splitlines()
                trace.append(f"{case}: exit {result.returncode}, {' | '.join(errors)}")
        self.compare("bad_configuration", trace)
