"""The command that replays traces."""

import logging

import msgspec
import trio
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.ui.progress_bar import ProgressBar
from returns.result import Failure, Success

from berylshift.connection.http_client import HttpClient
from berylshift.replay.http_fleet import HttpBalancer, HttpFleet
from berylshift.replay.policies import POLICIES
from berylshift.replay.result import ReplayResult
from berylshift.replay.runner import replay_trace
from berylshift.replay.trace import Trace, read_trace
from berylshift.replay.virtual import replay_virtual
from berylshift.replay.virtual_fleet import FleetSpec
from berylshift.settings import read_credentials
from berylshift.tools.session import Exit, ToolError
from berylshift.version.checks import is_valid_address

COLUMNS = (
    "trace",
    "requests",
    "complete",
    "not_run",
    "unknown",
    "late",
    "lost",
    "doubled",
    "cut",
    "goodput",
    "first_token_p95",
    "role_changes",
)


class ReplayCommand(Command):
    """Replays traces against running hosts, or on a virtual clock."""

    name = "replay"
    description = "Replay traces; exits 1 where an expected outcome is not met."
    arguments = [argument("trace", "Trace files.", multiple=True)]
    options = [
        option("virtual", None, "Replay in one process on a virtual clock."),
        option("policy", None, "The policy.", flag=False, default="berylshift"),
        option("seed", None, "Seed of the virtual replay.", flag=False, default="1"),
        option("entry", None, "An entry host's IP:PORT.", flag=False, multiple=True),
        option("engine", None, "An engine's, to count.", flag=False, multiple=True),
        option("replica", None, "A replica's, to count.", flag=False, multiple=True),
        option("credentials", None, "The callers' credentials file.", flag=False),
        option("json", None, "Print one JSON object a trace."),
    ]

    def handle(self) -> int:
        """Replay each trace in turn."""
        try:
            traces = [self._read(path) for path in self.argument("trace")]
            results = [self._replay(trace) for trace in traces]
        except ToolError as exc:
            self.line_error(f"<error>{exc}</error>")
            return exc.code
        for result in results:
            self._print(result)
        if not self.option("json"):
            self._print_table(results)
        return Exit.NOT_DONE if any(result.unmet for result in results) else Exit.OK

    def _read(self, path: str) -> Trace:
        match read_trace(path):
            case Success(trace):
                return trace
            case Failure(faults):
                raise ToolError(Exit.BAD_INPUT, str(faults))
        raise ToolError(Exit.BAD_INPUT, path)

    def _replay(self, trace: Trace) -> ReplayResult:
        bar = ProgressBar(self.io.error_output, len(trace.requests))
        bar.start()
        if self.option("virtual"):
            result = self._replay_virtual(trace, bar.advance)
        else:
            result = trio.run(self._replay_http, trace, bar.advance)
        bar.finish()
        self.line_error("")
        return result

    def _replay_virtual(self, trace: Trace, progress) -> ReplayResult:
        policy = self.option("policy")
        if policy not in POLICIES:
            text = f"no policy {policy!r}; there are {', '.join(POLICIES)}"
            raise ToolError(Exit.BAD_INPUT, text)
        if not self.option("seed").isdigit():
            raise ToolError(Exit.BAD_INPUT, "--seed takes a number")
        spec = FleetSpec(policy=policy, seed=int(self.option("seed")))
        logging.disable(logging.WARNING)
        try:
            return replay_virtual(trace, spec, progress)
        finally:
            logging.disable(logging.NOTSET)

    async def _replay_http(self, trace: Trace, progress) -> ReplayResult:
        entries = self.option("entry")
        if not entries or not all(is_valid_address(entry) for entry in entries):
            raise ToolError(Exit.BAD_INPUT, "give --virtual, or --entry IP:PORT")
        client = HttpClient()
        fleet = HttpFleet(
            client,
            HttpBalancer(client, entries),
            self._tokens(),
            self.option("engine"),
            self.option("replica"),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.balancer.run)
            result = await replay_trace(trace, fleet, progress)
            nursery.cancel_scope.cancel()
        return result

    def _tokens(self) -> dict[str, str]:
        path = self.option("credentials")
        if not path:
            raise ToolError(Exit.BAD_INPUT, "--entry needs --credentials FILE")
        match read_credentials(path):
            case Success(creds):
                return {who.customer: key for key, who in creds.callers.items()}
            case Failure(fault):
                raise ToolError(Exit.BAD_INPUT, str(fault))
        return {}

    def _print(self, result: ReplayResult) -> None:
        if self.option("json"):
            self.line(msgspec.json.encode(result).decode())
        for reason in result.unmet:
            self.line_error(f"<error>{result.trace}: {reason}</error>")

    def _print_table(self, results: list[ReplayResult]) -> None:
        table = self.table()
        table.set_headers(list(COLUMNS))
        table.set_rows(
            [[str(getattr(result, name)) for name in COLUMNS] for result in results]
        )
        table.render()
