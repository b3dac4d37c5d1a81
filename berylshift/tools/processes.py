"""Starts the processes of a demonstration and stops only these."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import trio

STOP_SECONDS = 15.0
START_SECONDS = 20.0
NO_VARIABLES: Mapping[str, str] = {}


@dataclass
class Program:
    """A started process; ``address`` is set for stand-ins only."""

    name: str
    process: trio.Process
    address: str = ""


@dataclass
class Programs:
    """The processes started so far, by name."""

    log_dir: Path
    nursery: trio.Nursery
    running: dict[str, Program] = field(default_factory=dict)
    # The source tree that the processes import; ``None``: that of this process.
    tree: Path | None = None

    async def start(
        self, name: str, *args: str, variables: Mapping[str, str] = NO_VARIABLES
    ) -> Program:
        """Start ``python -m args``; its stderr goes to a log file.

        ``variables`` are added to the environment.
        """
        log_file = (self.log_dir / f"{name}.log").open("ab")
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", *args],
            stdout=subprocess.PIPE if args[0] == "berylshift.stand_ins" else log_file,
            stderr=log_file,
            start_new_session=True,
            cwd=self.tree,
            env={**os.environ, **variables},
        )
        log_file.close()
        program = Program(name, process)
        self.running[name] = program
        return program

    async def start_stand_in(self, name: str, *args: str) -> Program:
        """Start a stand-in on a free port and wait until it prints its address."""
        program = await self.start(
            name, "berylshift.stand_ins", *args, "--address", "127.0.0.1:0"
        )
        line = b""
        with trio.fail_after(START_SECONDS):
            while not line.endswith(b"\n"):
                data = await program.process.stdout.receive_some()
                if not data:
                    raise RuntimeError(
                        f"{name} exited before it printed its address; see its log"
                    )
                line += data
        program.address = line.decode().split()[1]
        return program

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process unless it has exited."""
        process = self.running[name].process
        if process.poll() is None:
            os.kill(process.pid, number)

    async def stop(self, name: str) -> int:
        """Send SIGTERM to a process and wait for it; return its exit status."""
        self.signal(name, signal.SIGTERM)
        return await self.running[name].process.wait()

    async def stop_all(self) -> None:
        """Stop all started processes; kill those still running after STOP_SECONDS."""
        for name in self.running:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        with trio.move_on_after(STOP_SECONDS) as scope:
            scope.shield = True
            for program in self.running.values():
                await program.process.wait()
        for name, program in self.running.items():
            self.signal(name, signal.SIGKILL)
            with trio.CancelScope(shield=True):
                await program.process.wait()
