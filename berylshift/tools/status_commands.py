"""Commands that show what the entry hosts know and decided."""

import sys
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import trio
from cleo.helpers import argument, option

from berylshift.connection.status import HostStatus
from berylshift.request.messages import Decision
from berylshift.store.interfaces import HostEntry
from berylshift.tools.log_reader import LogLine, explain, read_lines
from berylshift.tools.log_summary import read_requests, summarize
from berylshift.tools.session import (
    CONFIG,
    PLATFORM,
    Exit,
    PlatformCommand,
    PlatformSession,
    decode_or_none,
)


async def ask_all(
    session: PlatformSession, path: str
) -> list[tuple[HostEntry, bytes | None]]:
    """Ask all listed hosts at once."""
    answers: list[tuple[HostEntry, bytes | None]] = []

    async def ask(entry: HostEntry) -> None:
        answers.append((entry, await session.ask(entry, path)))

    async with trio.open_nursery() as nursery:
        for entry in await session.hosts():
            nursery.start_soon(ask, entry)
    return sorted(answers, key=lambda item: item[0].host)


class StatusCommand(PlatformCommand):
    """Prints hosts, targets and customers."""

    name = "status"
    description = "Print the state of hosts, targets and customers."
    options = [CONFIG, PLATFORM, option("json", None, "Print JSON instead.")]

    async def work(self, session: PlatformSession) -> int:
        """Print what the hosts say."""
        answers = await ask_all(session, "/status")
        statuses = [
            status
            for _, data in answers
            if (status := decode_or_none(data, HostStatus)) is not None
        ]
        silent = [entry.host for entry, data in answers if data is None]
        if self.option("json"):
            self.line(msgspec.json.encode(statuses).decode())
        else:
            self._print_hosts(statuses, silent)
            self._print_targets(statuses)
            self._print_customers(statuses)
        return Exit.OK if statuses else Exit.NOT_DONE

    def _print_hosts(self, statuses: list[HostStatus], silent: list[str]) -> None:
        headers = "host domain ready phase table store-age in-flight peers".split()
        rows = [
            [
                status.host,
                status.domain,
                "yes" if status.ready else "no",
                status.phase,
                str(status.table_version),
                f"{status.store_age:.1f} s",
                str(status.in_flight),
                f"{status.peers_in_sight}/{status.hosts_listed - 1}",
            ]
            for status in statuses
        ]
        rows += [[host, *["no answer"] * 7] for host in silent]
        self._print(headers, rows)

    def _print_targets(self, statuses: list[HostStatus]) -> None:
        """Print targets; open work is the sum over hosts, the rest the worst view."""
        headers = "target serves domain state role open streams report-age".split()
        rows = {}
        for status in statuses:
            for item in status.targets:
                row = rows.setdefault(item.target, [item, 0, 0.0])
                row[1] += item.open_here
                row[2] = max(row[2], item.report_age)
        self._print(
            headers,
            [
                [
                    item.target,
                    item.serves,
                    item.domain,
                    "suspended" if item.suspended else item.state,
                    item.role,
                    str(open_work),
                    f"{item.streams:.0f}",
                    f"{age:.1f} s" if age < 1e5 else "-",
                ]
                for item, open_work, age in rows.values()
            ],
        )

    def _print_customers(self, statuses: list[HostStatus]) -> None:
        """Print customers side by side, so that equal treatment can be seen."""
        sums: dict[str, list[int]] = {}
        for status in statuses:
            for item in status.customers:
                row = sums.setdefault(item.customer, [item.limit, 0, 0])
                row[1] += item.admitted
                row[2] += item.refused
        rows = [
            [name, str(limit or "-"), str(admitted), str(refused)]
            for name, (limit, admitted, refused) in sorted(sums.items())
        ]
        if rows:
            self._print("customer limit/s admitted refused".split(), rows)

    def _print(self, headers: list[str], rows: list[list[str]]) -> None:
        table = self.table()
        table.set_headers(headers)
        table.set_rows(rows)
        table.render()


class ExplainCommand(PlatformCommand):
    """Prints why a request went where it went."""

    name = "explain"
    description = "Print the decisions of a request, or sum up those of many."
    arguments = [
        argument("request", "The request's id, as its caller knows it.", optional=True)
    ]
    options = [
        CONFIG,
        PLATFORM,
        option("log", "l", "Read hosts' logs from a file; - is input.", flag=False),
        option("summary", "s", "Sum up all requests of the logs."),
    ]

    def handle(self) -> int:
        """Explain from logs where they are given, else from the hosts' memory."""
        path = self.option("log")
        summary, request = self.option("summary"), self.argument("request")
        if bool(request) == summary or (summary and not path):
            self.line_error("<error>name a request, or --summary of a --log</error>")
            return Exit.BAD_INPUT
        if not path:
            return super().handle()
        try:
            lines = self._read(path)
        except OSError as exc:
            self.line_error(f"<error>{path}: {exc.strerror}</error>")
            return Exit.BAD_INPUT
        if summary:
            return self._sum_up(lines)
        found = explain(lines, request)
        for line in found:
            self.line(line)
        if found:
            return Exit.OK
        self.line_error("<error>these logs do not name the request</error>")
        return Exit.NOT_DONE

    def _sum_up(self, lines: list[LogLine]) -> int:
        requests = read_requests(lines)
        if not requests:
            self.line_error("<error>these logs name no request</error>")
            return Exit.NOT_DONE
        for part in summarize(requests):
            self.line(part.title)
            table = self.table()
            table.set_headers(part.columns)
            table.set_rows(part.rows)
            table.render()
        return Exit.OK

    def _read(self, path: str) -> list[LogLine]:
        if path == "-":
            return read_lines(sys.stdin)
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            return read_lines(file)

    async def work(self, session: PlatformSession) -> int:
        """Print the decisions in their order."""
        path = f"/decisions/{self.argument('request')}"
        for entry, data in await ask_all(session, path):
            decisions = decode_or_none(data, list[Decision])
            if decisions:
                self.line(f"at {entry.host} in {entry.domain}:")
                for line in explain_lines(decisions):
                    self.line(line)
                return Exit.OK
        self.line_error(
            "<error>no host remembers this request; its log lines hold it"
            " longer</error>"
        )
        return Exit.NOT_DONE


def explain_lines(decisions: list[Decision]) -> list[str]:
    """Return decisions as lines for people."""
    lines = []
    for item in decisions:
        at = datetime.fromtimestamp(item.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        head = f"{at}  {item.kind}"
        if item.chosen:
            head += f" -> {item.chosen}"
        lines.append(f"{head}: {item.reason}")
        for found in item.weighed:
            mark = "*" if found.target == item.chosen else " "
            lines.append(
                f"   {mark} {found.target}: first token in {found.first_token:.2f} s,"
                f" end in {found.end:.2f} s, {found.streams:.0f} streams,"
                f" {found.prefill_tokens:.0f} tokens before it"
            )
    return lines
