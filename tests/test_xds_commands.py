"""Credentials that change, the configuration, and the drill with its report."""

import datetime as dt
import json
import os
import tempfile
import unittest
from pathlib import Path

from brookreach.simulation.xds import drill
from brookreach.tls.credentials import verify_credentials
from brookreach.tls.errors import InvalidCredentialsError
from brookreach.tls.reloader import CredentialsReloader
from brookreach.xds import config
from tests.xds_rig import make_certificate, to_pem


class CredentialsTest(unittest.TestCase):
    def test_invalid_credentials_are_rejected_with_the_reason(self):
        """Credentials that don't fit together fail only at the first handshake if they are not checked before; an error
        that quotes a file would write the key to the log.
        """
        now = dt.datetime.now(dt.UTC)
        chain, key = to_pem(*make_certificate(["control.example.org"]))
        other_chain, other_key = to_pem(*make_certificate(["other.example.org"]))
        credentials = verify_credentials(chain, key, b"", now, "control.example.org")
        self.assertGreater(credentials.days_left(now), 29.0)
        self.assertNotIn("PRIVATE", repr(credentials))
        wildcard = verify_credentials(*to_pem(*make_certificate(["*.example.org"])), b"", now, "control.example.org")
        self.assertEqual(wildcard.names, ("*.example.org",))
        for files, error in (
            ((chain, other_key, b""), "another pair"),
            ((b"no", key, b""), "no PEM certificate"),
            ((chain, b"no", b""), "no unencrypted PEM key"),
            ((chain, key, b"no"), "trusted: no PEM"),
            ((other_chain, other_key, b""), "not for control.example.org"),
            ((chain + other_chain, key, b""), "the chain is broken"),
            ((*to_pem(*make_certificate(["control.example.org"], days=-0.5)), b""), "expired"),
            ((*to_pem(*make_certificate(["control.example.org"], begins=2.0)), b""), "not valid before"),
            ((bytes(2 << 20), key, b""), "over 1048576 bytes"),
        ):
            with self.assertRaises(InvalidCredentialsError) as caught:
                verify_credentials(*files, now, "control.example.org")
            self.assertIn(error, str(caught.exception))
            self.assertNotIn("PRIVATE", str(caught.exception))

    def test_a_half_replaced_pair_is_not_used(self):
        """Certificate and key are two files, replaced one after the other: read in between, they don't fit together."""
        with tempfile.TemporaryDirectory() as directory:
            cert, key = Path(directory) / "c", Path(directory) / "k"
            lines = []

            def write_file(path, data):
                path.write_bytes(data)
                os.utime(path, ns=(write_file.at, write_file.at))
                write_file.at += 10**9

            write_file.at = 10**18
            first, second = to_pem(*make_certificate(["a"])), to_pem(*make_certificate(["a"]))
            write_file(cert, first[0])
            write_file(key, first[1])
            reloader = CredentialsReloader(cert, key, None, "a", lines.append)
            old = reloader.credentials
            self.assertFalse(reloader.reload())
            write_file(cert, second[0])
            self.assertFalse(reloader.reload())
            self.assertFalse(reloader.reload())
            self.assertIs(reloader.credentials, old)
            write_file(key, second[1])
            self.assertTrue(reloader.reload())
            self.assertEqual(["not taken" in line for line in lines], [True, False])
            cert.unlink()
            self.assertFalse(reloader.reload())
            self.assertIn("No such file", lines[-1])


class ConfigTest(unittest.TestCase):
    def test_errors_name_the_key(self):
        """An operator can't find a wrong value by an error that doesn't name its key; values that are allowed one by one
        can be wrong together, such as an open address without TLS.
        """
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "c.toml"
            good = '[serve]\nmarshal = "m"\n'
            path.write_text(good)
            self.assertEqual(config.read_configuration(path).serve.merge_ms, 100.0)
            for text, error in (
                ("", "serve"),
                (good + "x = 1\n", "x"),
                (good + "merge_ms = -1\n", "$.serve.merge_ms"),
                (good + 'listen = "10.0.0.1:9"\n', "plain only on loopback"),
                (good + 'listen = "a"\n', "host:port"),
                ("[", "no TOML"),
                (good + '[[client]]\nname = "a"\nnodes = ["a*b"]\n', "a star may stand at the end"),
                (good + '[[client]]\nname = "a"\nnodes = []\n', "tls.trusted is needed"),
            ):
                path.write_text(text)
                with self.assertRaises(config.InvalidFileError) as caught:
                    config.read_configuration(path)
                self.assertIn(error, str(caught.exception))


class DrillTest(unittest.TestCase):
    def test_rules_are_kept_and_planted_defects_found(self):
        """A rule that no longer looks at anything is never violated: each planted defect has to be found by its rule."""
        report = drill.run(1, 12)
        self.assertEqual(report.violations, [])
        self.assertGreater(report.figures["picks at trial builds"], 1000)
        for defect, rule in (
            ("late-drain", "nothing to a gone node"),
            ("version-reused", "one content a version"),
            ("cap-not-divided", "exposure over all proxies"),
            ("routes-first", "routes after their clusters"),
        ):
            self.assertIn(rule, {violation.rule for violation in drill.run(1, 3, defect).violations}, defect)


class JsonTest(unittest.TestCase):
    def test_the_drill_prints_one_object(self):
        """A report with a value that JSON doesn't know breaks `--json` only once it is printed."""
        self.assertTrue(json.loads(json.dumps(drill.run(1, 1, duration_ms=5000.0).as_dict()))["good"])
