"""Shared by the operators' commands: platform sessions, exit codes, errors."""

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

HOST_TIMEOUT_SECONDS = 2.0
MAX_COMMIT_ATTEMPTS = 3
STATUS_OK = 200
MAX_REQUESTS_PER_SECOND = 100.0
CONFIG = option(
    "config", "c", "Settings file whose [platform] section is used.", flag=False
)
PLATFORM = option("platform", None, "The platform's IP:PORT.", flag=False)


class Exit(IntEnum):
    """Exit codes of the commands; see docs/operators.md."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    PLATFORM_UNAVAILABLE = 3


class ToolError(Exception):
    """A command can't continue; the text is printed for the operator."""

    def __init__(self, code: Exit, text: str):
        """Create an error with an exit code and a text."""
        super().__init__(text)
        self.code = code


class PlatformSession:
    """A connection of an operators' command to the platform and its hosts."""

    def __init__(self, cfg: PlatformSettings):
        """Use the services that ``cfg`` names."""
        self.client = HttpClient()
        rng = random.Random()
        gate = TableGate(
            HttpTableService(self.client, cfg.table, cfg.timeout),
            LoopClock(),
            StoreBudget(MAX_REQUESTS_PER_SECOND, rng),
            StoreBudget(MAX_REQUESTS_PER_SECOND, rng),
            0.0,
            1,
        )
        objects = HttpObjectStore(self.client, cfg.objects, cfg.timeout)
        self.log = TableLog(gate, objects)
        self._hosts = HttpHostList(self.client, cfg.hosts, cfg.timeout)

    async def hosts(self) -> list[HostEntry]:
        """Return the entry hosts that the platform lists."""
        return await self._hosts.hosts()

    async def fetch(self, entry: HostEntry, path: str) -> bytes | None:
        """Return an entry host's response body, or ``None`` on error or timeout."""
        out = Outgoing(entry.admin_address, "GET", path, {}, reuse=False)
        with trio.move_on_after(HOST_TIMEOUT_SECONDS):
            try:
                async with self.client.request(out) as resp:
                    data = await resp.read()
                    return data if resp.status == STATUS_OK else None
            except ConnectionLayerError:
                return None
        return None

    async def commit(self, edit: Edit) -> Result[Accepted, Conflict | Rejected]:
        """Commit an edit; retry under the same change id if the response is lost."""
        change_id = ChangeId(f"{random.getrandbits(64):016x}")
        at = datetime.now(UTC).isoformat(timespec="seconds")
        for _ in range(MAX_COMMIT_ATTEMPTS - 1):
            try:
                return await self.log.commit(edit, change_id, getpass.getuser(), at)
            except PlatformError:
                await trio.sleep(HOST_TIMEOUT_SECONDS / 4)
        return await self.log.commit(edit, change_id, getpass.getuser(), at)


class PlatformCommand(Command):
    """A command that uses the platform; subclasses implement ``run_session``."""

    def handle(self) -> int:
        """Call ``run_session`` and map errors to exit codes."""
        try:
            return self.run_loop(self._open_session)
        except ToolError as exc:
            self.line_error(f"<error>{exc}</error>")
            return exc.code
        except PlatformError as exc:
            self.line_error(
                f"<error>the platform does not answer ({exc}); no change is"
                " confirmed: check 'table history' once it is reachable</error>"
            )
            return Exit.PLATFORM_UNAVAILABLE

    def run_loop(self, task: Callable[[], Awaitable[int]]) -> int:
        """Run a task on a new event loop."""
        return trio.run(task)

    async def _open_session(self) -> int:
        return await self.run_session(self.make_session(self._platform_settings()))

    def make_session(self, cfg: PlatformSettings) -> PlatformSession:
        """Return the session that is passed to ``run_session``."""
        return PlatformSession(cfg)

    async def run_session(self, session: PlatformSession) -> int:
        """Run the command; return its exit code."""
        raise NotImplementedError

    def _platform_settings(self) -> PlatformSettings:
        address = self.option("platform")
        if address:
            return PlatformSettings(
                table=address, objects=address, hosts=address, weights=address
            )
        path = self.option("config")
        if not path:
            raise ToolError(
                Exit.BAD_INPUT, "--config FILE.ini or --platform is required"
            )
        match read_platform_settings(path):
            case Success(cfg):
                return cfg
            case Failure(errors):
                text = "\n".join(str(error) for error in errors)
                raise ToolError(Exit.BAD_INPUT, text)
        raise ToolError(Exit.BAD_INPUT, "settings can't be read")

    def print_result(self, result: Result[Accepted, Conflict | Rejected]) -> int:
        """Print the result of an edit; return the exit code."""
        match result:
            case Success(accepted):
                self.line(f"accepted as version {accepted.change.version}")
                return Exit.OK
            case Failure(reason):
                self.line_error(f"<error>nothing was changed: {reason}</error>")
                conflict = isinstance(reason, Conflict)
                return Exit.FAILED if conflict else Exit.BAD_INPUT
        return Exit.FAILED


def decode_or_none(data: bytes | None, kind: type):
    """Return decoded JSON, or ``None`` if it is missing or malformed."""
    if data is None:
        return None
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError:
        return None
