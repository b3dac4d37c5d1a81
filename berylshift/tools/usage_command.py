"""The command that shows from hosts' logs which usage windows were reported."""

from collections.abc import Iterable

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option

from berylshift.messages.leader_calls import CallResult
from berylshift.tools.log_reader import LogLine, read_lines
from berylshift.tools.session import Exit

SETTLED = "usage settled"
SENT = "usage sent"
GIVEN_UP = "usage given up"
DONE = str(CallResult.DONE)
UNKNOWN = str(CallResult.UNKNOWN)
MESSAGES = frozenset({SETTLED, SENT, GIVEN_UP})
COLUMNS = ["window", "host", "requests", "customers", "answer", "sends", "at"]


class LoggedWindow(msgspec.Struct):
    """One usage window as logged; ``sends`` counts the calls to the platform.

    ``is_unanswered``: a call got no answer, so the platform may have its report.
    """

    window: int
    host: str = ""
    requests: int | None = None
    customers: int | None = None
    answer: str = "not sent"
    sends: int = 0
    at: str = ""
    is_unanswered: bool = False


def read_windows(lines: Iterable[LogLine]) -> list[LoggedWindow]:
    """Return the windows that the log lines mention, in order of number."""
    windows: dict[int, LoggedWindow] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if line.message in MESSAGES:
            number = int(line.values["window"])
            _apply_line(windows.setdefault(number, LoggedWindow(number)), line)
    return [windows[number] for number in sorted(windows)]


def _apply_line(window: LoggedWindow, line: LogLine) -> None:
    if line.message == SETTLED:
        window.requests = line.values.get("requests")
        window.customers = line.values.get("customers")
    window.sends += line.message == SENT
    if window.answer == DONE:
        # Another host may not know yet, and repeat the report or give it up.
        return
    window.host, window.at = line.host, line.time
    if line.message == SENT:
        window.answer = str(line.values.get("answer"))
        window.is_unanswered |= window.answer == UNKNOWN
    elif line.message == GIVEN_UP:
        window.answer = f"given up: {line.values.get('reason')}"
        if window.is_unanswered:
            window.answer += "; may have been reported"


class UsageCommand(Command):
    """Prints the usage windows that hosts' logs mention."""

    name = "usage"
    description = "Print which windows of usage were reported, by whom and when."
    options = [option("log", "l", "Hosts' logs.", flag=False)]

    def handle(self) -> int:
        """Print one row per window; fail if any window was not reported."""
        path = self.option("log")
        if not path:
            self.line_error("<error>--log FILE is needed</error>")
            return Exit.BAD_INPUT
        try:
            with open(path, encoding="utf-8", errors="replace") as log:
                windows = read_windows(read_lines(log))
        except OSError as exc:
            self.line_error(f"<error>{path}: {exc.strerror}</error>")
            return Exit.BAD_INPUT
        if not windows:
            self.line_error("<error>these logs name no window</error>")
            return Exit.FAILED
        table = self.table()
        table.set_headers(COLUMNS)
        table.set_rows([_format_row(window) for window in windows])
        table.render()
        all_done = all(window.answer == DONE for window in windows)
        return Exit.OK if all_done else Exit.FAILED


def _format_row(window: LoggedWindow) -> list[str]:
    values = (getattr(window, name) for name in COLUMNS)
    return ["-" if value is None else str(value) for value in values]
