"""One entry host: a process that the deploy file's role starts."""

import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
INTERNAL_PORTS = (7380, 7395)
BOUNDS = {
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_burst": 58,
    "lease_ms": 3000,
}
POLICIES = ("base drain config cost retry recover split stream engine platform").split()


def free_port(ip):
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def _look_up(scope, name):
    if name == ".":
        return scope[-1]
    for table in reversed(scope):
        value = table
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list | tuple) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def render(text, scope):
    """Fill in a template as DEPLOY.md says: placeholders and sections."""
    found = re.search(r"\{\{([#^])([\w.]+)\}\}", text)
    if found is None:
        return re.sub(
            r"\{\{([\w.]+)\}\}", lambda name: _text(_look_up(scope, name[1])), text
        )
    end = "{{/" + found[2] + "}}"
    at = text.index(end, found.end())
    inner, value = text[found.end() : at], _look_up(scope, found[2])
    if found[1] == "^":
        items = [] if value else [None]
    elif isinstance(value, list | tuple):
        items = list(value)
    else:
        items = [value] if value else []
    shown = "".join(render(inner, [*scope, item]) for item in items)
    before = render(text[: found.start()], scope)
    return before + shown + render(text[at + len(end) :], scope)


class Host:
    """The process of one host, with settings like those of a small deployment."""

    def __init__(self, name, zone, ip, directory):
        """Use the loopback address ``ip``, and ``directory`` for settings and log."""
        self.name, self.zone, self.ip = name, zone, ip
        self.front = f"{ip}:{free_port(ip)}"
        self.readiness = f"{ip}:{free_port(ip)}"
        self.store = ""
        self.is_ready = False
        self.proc = None
        self._path = directory / f"{name}.ini"
        self._log = directory / f"{name}.log"

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen": {"frontend": self.front, "readiness": self.readiness},
            "internal_ports": INTERNAL_PORTS,
            "platform": {"address": self.store},
            "bounds": BOUNDS,
            "heartbeat_ms": 1200,
            "bootstrap": True,
            "policies": POLICIES,
        }
        self._path.write_text(render((ROOT / role["template"]).read_text(), [fields]))
        command = role["run"].split()
        command[-1] = str(self._path)
        passed_on = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed_on if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._log.open("ab") as log:
            self.proc = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def runs(self):
        """Return whether the process runs."""
        return self.proc is not None and self.proc.poll() is None

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.runs:
            self.proc.send_signal(number)

    def memory_mb(self):
        """Return the memory that the process has in use, in MiB; 0 if it is gone."""
        try:
            text = Path(f"/proc/{self.proc.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) / 1024 if found else 0

    def end(self):
        """Kill the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.proc is not None:
            self.proc.wait()

    def log_lines(self, text):
        """Return the lines of the log that contain a text."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]
