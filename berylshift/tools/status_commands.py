"""Commands that show the entry hosts' state and decisions."""

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


async def fetch_all(
    session: PlatformSession, path: str
) -> list[tuple[HostEntry, bytes | None]]:
    """Return each listed host's response, or ``None``; hosts are asked concurrently."""
    responses: list[tuple[HostEntry, bytes | None]] = []

    async def fetch(entry: HostEntry) -> None:
        responses.append((entry, await session.fetch(entry, path)))

    async with trio.open_nursery() as nursery:
        for entry in await session.hosts():
            nursery.start_soon(fetch, entry)
    return sorted(responses, key=lambda item: item[0].host)


class StatusCommand(PlatformCommand):
    """Prints the state of hosts, targets and customers."""

    name = "status"
    description = "Print the state of hosts, targets and customers."
    options = [CONFIG, PLATFORM, option("json", None, "Print JSON instead.")]

    async def run_session(self, session: PlatformSession) -> int:
        """Print the hosts' reports."""
        responses = await fetch_all(session, "/status")
        statuses = [
            status
            for _, data in responses
            if (status := decode_or_none(data, HostStatus)) is not None
        ]
        unreachable = [entry.host for entry, data in responses if data is None]
        if self.option("json"):
            self.line(msgspec.json.encode(statuses).decode())
        else:
            self._print_hosts(statuses, unreachable)
            self._print_targets(statuses)
            self._print_customers(statuses)
        return Exit.OK if statuses else Exit.FAILED

    def _print_hosts(self, statuses: list[HostStatus], unreachable: list[str]) -> None:
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
        rows += [[host, *["no answer"] * 7] for host in unreachable]
        self._print(headers, rows)

    def _print_targets(self, statuses: list[HostStatus]) -> None:
        """Print targets: open requests summed over hosts, report ages as maxima."""
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
                    str(open_requests),
                    f"{item.streams:.0f}",
                    f"{age:.1f} s" if age < 1e5 else "-",
                ]
                for item, open_requests, age in rows.values()
            ],
        )

    def _print_customers(self, statuses: list[HostStatus]) -> None:
        """Print each customer's limit and counts in one table, to compare them."""
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
    """Prints the decisions made for a request."""

    name = "explain"
    description = "Print the decisions for a request, or a summary of many requests."
    arguments = [
        argument("request", "The request's id, as its caller knows it.", optional=True)
    ]
    options = [
        CONFIG,
        PLATFORM,
        option(
            "log", "l", "Read hosts' logs from a file; - is standard input.", flag=False
        ),
        option("summary", "s", "Summarize all requests in the logs."),
    ]

    def handle(self) -> int:
        """Explain from log files if given, else from the hosts' decision logs."""
        path = self.option("log")
        summary, request = self.option("summary"), self.argument("request")
        if bool(request) == summary or (summary and not path):
            self.line_error(
                "<error>give either a request or --summary with --log</error>"
            )
            return Exit.BAD_INPUT
        if not path:
            return super().handle()
        try:
            lines = self._read(path)
        except OSError as exc:
            self.line_error(f"<error>{path}: {exc.strerror}</error>")
            return Exit.BAD_INPUT
        if summary:
            return self._print_summary(lines)
        explanation = explain(lines, request)
        for line in explanation:
            self.line(line)
        if explanation:
            return Exit.OK
        self.line_error("<error>the logs do not mention this request</error>")
        return Exit.FAILED

    def _print_summary(self, lines: list[LogLine]) -> int:
        requests = read_requests(lines)
        if not requests:
            self.line_error("<error>the logs contain no request</error>")
            return Exit.FAILED
        for summary in summarize(requests):
            self.line(summary.title)
            table = self.table()
            table.set_headers(summary.columns)
            table.set_rows(summary.rows)
            table.render()
        return Exit.OK

    def _read(self, path: str) -> list[LogLine]:
        if path == "-":
            return read_lines(sys.stdin)
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            return read_lines(file)

    async def run_session(self, session: PlatformSession) -> int:
        """Print the decisions of the first host that has any, in order."""
        path = f"/decisions/{self.argument('request')}"
        for entry, data in await fetch_all(session, path):
            decisions = decode_or_none(data, list[Decision])
            if decisions:
                self.line(f"at {entry.host} in {entry.domain}:")
                for line in format_decisions(decisions):
                    self.line(line)
                return Exit.OK
        self.line_error(
            "<error>no host has decisions for this request in memory; search the"
            " hosts' logs with --log</error>"
        )
        return Exit.FAILED


def format_decisions(decisions: list[Decision]) -> list[str]:
    """Return decisions as human-readable lines."""
    lines = []
    for item in decisions:
        at = datetime.fromtimestamp(item.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        head = f"{at}  {item.kind}"
        if item.chosen:
            head += f" -> {item.chosen}"
        lines.append(f"{head}: {item.reason}")
        for estimate in item.weighed:
            mark = "*" if estimate.target == item.chosen else " "
            lines.append(
                f"   {mark} {estimate.target}:"
                f" first token in {estimate.first_token:.2f} s,"
                f" end in {estimate.end:.2f} s, {estimate.streams:.0f} streams,"
                f" {estimate.prefill_tokens:.0f} prefill tokens queued"
            )
    return lines
