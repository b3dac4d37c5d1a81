"""What the operators' commands share: the platform, hosts, exit codes."""

import getpass
import random
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from enum import IntEnum

import msgspec
import trio
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure, Result, Success

from berylshift.clock import LoopClock
from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.ids import ChangeId
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.settings import PlatformSettings, read_platform_settings
from berylshift.store.batch import TableGate
from berylshift.store.http import HttpHostList, HttpObjectStore, HttpTableService
from berylshift.store.interfaces import HostEntry, PlatformError
from berylshift.version.changelog import Accepted, TableLog
from berylshift.version.diff import Conflict, Edit, Rejected

ASK_SECONDS = 2.0
TRIES_WHEN_LOST = 3
STATUS_OK = 200
TOOL_RATE = 100.0
CONFIG = option("config", "c", "Settings file; its [platform] is used.", flag=False)
PLATFORM = option("platform", None, "The platform's IP:PORT.", flag=False)


class Exit(IntEnum):
    """Exit codes of the commands; see docs/operators.md."""

    OK = 0
    NOT_DONE = 1
    BAD_INPUT = 2
    NO_PLATFORM = 3


class ToolError(Exception):
    """A command can't go on; the text says what to do."""

    def __init__(self, code: Exit, text: str):
        """Keep the exit code and the text."""
        super().__init__(text)
        self.code = code


class PlatformSession:
    """The platform as operators' commands use it."""

    def __init__(self, cfg: PlatformSettings):
        """Speak to the services that ``cfg`` names."""
        self.client = HttpClient()
        rng = random.Random()
        gate = TableGate(
            HttpTableService(self.client, cfg.table, cfg.timeout),
            LoopClock(),
            StoreBudget(TOOL_RATE, rng),
            StoreBudget(TOOL_RATE, rng),
            0.0,
            1,
        )
        objects = HttpObjectStore(self.client, cfg.objects, cfg.timeout)
        self.log = TableLog(gate, objects)
        self._hosts = HttpHostList(self.client, cfg.hosts, cfg.timeout)

    async def hosts(self) -> list[HostEntry]:
        """Return the entry hosts that the platform lists."""
        return await self._hosts.hosts()

    async def ask(self, entry: HostEntry, path: str) -> bytes | None:
        """Return an entry host's answer, or ``None`` where it gives none."""
        out = Outgoing(entry.admin_address, "GET", path, {}, reuse=False)
        with trio.move_on_after(ASK_SECONDS):
            try:
                async with self.client.request(out) as resp:
                    data = await resp.read()
                    return data if resp.status == STATUS_OK else None
            except ConnectionLayerError:
                return None
        return None

    async def commit(self, edit: Edit) -> Result[Accepted, Conflict | Rejected]:
        """Have an edit accepted; one whose answer is lost is looked up."""
        change_id = ChangeId(f"{random.getrandbits(64):016x}")
        at = datetime.now(UTC).isoformat(timespec="seconds")
        for _ in range(TRIES_WHEN_LOST - 1):
            try:
                return await self.log.commit(edit, change_id, getpass.getuser(), at)
            except PlatformError:
                await trio.sleep(ASK_SECONDS / 4)
        return await self.log.commit(edit, change_id, getpass.getuser(), at)


class PlatformCommand(Command):
    """A command that speaks to the platform; its work is in ``work``."""

    def handle(self) -> int:
        """Run ``work`` and turn errors into exit codes."""
        try:
            return self.run_loop(self._connected)
        except ToolError as exc:
            self.line_error(f"<error>{exc}</error>")
            return exc.code
        except PlatformError as exc:
            self.line_error(
                f"<error>the platform does not answer ({exc}); nothing was confirmed:"
                " look at 'table history' when it is back</error>"
            )
            return Exit.NO_PLATFORM

    def run_loop(self, task: Callable[[], Awaitable[int]]) -> int:
        """Run a task on an event loop."""
        return trio.run(task)

    async def _connected(self) -> int:
        return await self.work(self.make_session(self._platform_settings()))

    def make_session(self, cfg: PlatformSettings) -> PlatformSession:
        """Return the session that ``work`` uses."""
        return PlatformSession(cfg)

    async def work(self, session: PlatformSession) -> int:
        """Do the command's work; return its exit code."""
        raise NotImplementedError

    def _platform_settings(self) -> PlatformSettings:
        address = self.option("platform")
        if address:
            return PlatformSettings(
                table=address, objects=address, hosts=address, weights=address
            )
        path = self.option("config")
        if not path:
            raise ToolError(Exit.BAD_INPUT, "give --config FILE.ini or --platform")
        match read_platform_settings(path):
            case Success(cfg):
                return cfg
            case Failure(faults):
                text = "\n".join(str(fault) for fault in faults)
                raise ToolError(Exit.BAD_INPUT, text)
        raise ToolError(Exit.BAD_INPUT, "settings can't be read")

    def report(self, done: Result[Accepted, Conflict | Rejected]) -> int:
        """Say what became of an edit."""
        match done:
            case Success(accepted):
                self.line(f"accepted as version {accepted.change.version}")
                return Exit.OK
            case Failure(why):
                self.line_error(f"<error>nothing was changed: {why}</error>")
                conflict = isinstance(why, Conflict)
                return Exit.NOT_DONE if conflict else Exit.BAD_INPUT
        return Exit.NOT_DONE


def decode_or_none(data: bytes | None, kind: type):
    """Return decoded JSON, or ``None`` where there is none."""
    if data is None:
        return None
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None
