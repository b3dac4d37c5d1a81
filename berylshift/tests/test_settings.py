"""Tests of the settings: defaults, validation, and the daemon's ``--check``."""

import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from berylshift.daemon import EXIT_BAD_SETTINGS, EXIT_OK, ServeCommand
from berylshift.settings import (
    DEFAULT_CONFIG,
    SECTIONS,
    parse_settings,
    read_settings,
)

HOST = "[host]\nname = host-1\ndomain = domain-1\n"
CREDENTIALS = '{"callers": {"t": {"customer": "c", "fleet": "f"}}, "cluster_key": "k"}'


class ParseTest(unittest.TestCase):
    """Parsing INI text."""

    def test_only_host_settings_are_required(self):
        cfg = parse_settings(HOST).unwrap()
        self.assertEqual(cfg.host.name, "host-1")
        self.assertEqual(cfg.table.poll_interval, 1.0)

    def test_every_default_is_valid(self):
        lines = [HOST]
        for section, values in DEFAULT_CONFIG.items():
            if section == "host":
                continue
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        self.assertEqual(parse_settings("\n".join(lines)), parse_settings(HOST))

    def test_all_errors_are_listed_with_section_key_value_and_allowed(self):
        text = HOST + "[table]\npoll_interval = often\n[policy]\nretry_share = 2\n"
        errors = parse_settings(text).failure()
        self.assertEqual(
            [(error.section, error.key, error.value) for error in errors],
            [("table", "poll_interval", "often"), ("policy", "retry_share", "2")],
        )
        self.assertIn("<= 1", errors[1].allowed)

    def test_unknown_key_suggests_the_nearest_known_one(self):
        errors = parse_settings(HOST + "[table]\npoll_intervall = 1\n").failure()
        self.assertIn("nearest known one is poll_interval", errors[0].allowed)

    def test_unknown_section_suggests_the_nearest_known_one(self):
        errors = parse_settings(HOST + "[tables]\n").failure()
        self.assertIn("nearest known one is table", errors[0].allowed)

    def test_missing_host_section_is_an_error(self):
        keys = {error.key for error in parse_settings("").failure()}
        self.assertEqual(keys, {"name", "domain"})

    def test_contradicting_values_are_errors(self):
        text = HOST + "[leases]\nterm = 2\n[table]\nfreshness_limit = 0.5\n"
        keys = [error.key for error in parse_settings(text).failure()]
        self.assertEqual(keys, ["freshness_limit", "term"])

    def test_choices_and_addresses_are_checked(self):
        text = HOST + "[policy]\nrouter = magic\n[platform]\ntable = here\n"
        errors = {error.key: error.allowed for error in parse_settings(text).failure()}
        self.assertIn("round-robin", errors["router"])
        self.assertEqual(errors["table"], "must be IP:PORT")

    def test_unreadable_file_is_an_error(self):
        self.assertIn(
            "can't be read", read_settings("/no/such/file").failure()[0].allowed
        )

    def test_every_key_is_documented(self):
        text = Path("docs/settings.md").read_text(encoding="utf-8")
        for section, kind in SECTIONS.items():
            for key in kind.__struct_fields__:
                with self.subTest(section=section, key=key):
                    self.assertIn(f"| `{section}.{key}` |", text)


class DaemonCheckTest(unittest.TestCase):
    """The daemon's ``--check``."""

    def run_check(self, text: str) -> CommandTester:
        with tempfile.TemporaryDirectory() as name:
            credentials = Path(name, "credentials.json")
            credentials.write_text(CREDENTIALS, encoding="utf-8")
            path = Path(name, "host.ini")
            path.write_text(text.format(credentials=credentials), encoding="utf-8")
            tester = CommandTester(ServeCommand())
            self.exit_code = tester.execute(f"--config {path} --check")
        return tester

    def test_valid_settings_exit_0(self):
        self.run_check(HOST + "credentials = {credentials}\n")
        self.assertEqual(self.exit_code, EXIT_OK)

    def test_invalid_settings_exit_2(self):
        self.run_check(HOST + "credentials = {credentials}\nadress = x\n")
        self.assertEqual(self.exit_code, EXIT_BAD_SETTINGS)

    def test_missing_credentials_exit_2(self):
        self.run_check(HOST)
        self.assertEqual(self.exit_code, EXIT_BAD_SETTINGS)
