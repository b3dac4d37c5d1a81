"""One entry of another writer, whose bytes can't be read, ends every host for good."""

import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from fleet import SITE, Fleet, call, fail_as_not_run, stop_on_sigterm  # noqa: E402

HOSTS = 3
CALM_SECONDS = 5.0
TROUBLE_SECONDS = 30.0
REQUESTS_PER_SECOND = 10
REQUESTS = int((CALM_SECONDS + TROUBLE_SECONDS) * REQUESTS_PER_SECOND)
# RULES.md, Faults: the day counts 0 if on a tenth of the machines in use (two at least)
# processes end by themselves three times in the day with no disruption there.
MAX_OWN_ENDS = 3
MIN_MACHINES = 2
# DEPLOY.md: an entry has at most row_bytes = 65,536 bytes.
ROW_BYTES = 65_536
UNREADABLE = b'{"a":' * 6000


def configuration() -> bytes:
    """Return the operator's only configuration."""
    route = {
        "name": "look",
        "host": SITE,
        "prefix": "/look/",
        "route_kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "service": "desk",
        "max_attempts": 2,
    }
    value = {"version": 1, "routes": [route], "services": [{"name": "desk"}]}
    return json.dumps(value).encode()


async def send(fleet: Fleet, number: int, results: list[tuple[float, str]]) -> None:
    """Send a request to one host, as the platform's balancer assigns them by turns."""
    host = fleet.hosts[number % len(fleet.hosts)]
    sent_at = fleet.now()
    headers = {
        "Host": SITE,
        "Berylshift-Attempt-Id": f"look-{number}",
        "Berylshift-Deadline-Ms": "2000",
    }
    try:
        status, _, _ = await call(
            f"127.0.0.1:{host.front}", "GET", "/look/x", headers, seconds=2.5
        )
        answer = str(status)
    except (TimeoutError, OSError, EOFError) as exc:
        answer = type(exc).__name__
    results.append((sent_at, answer))
    fleet.note(f"look-{number} to {host.name} sent {sent_at:.3f} answered {answer}")


async def play(fleet: Fleet, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.store = await fleet.stand_in("store")
    await fleet.write("op", "config", configuration())
    for number in (1, 2):
        await fleet.add_plain_replica(f"desk-{number}", "desk")
    await fleet.start_hosts(HOSTS)
    fleet.note("all hosts are ready")
    results: list[tuple[float, str]] = []
    wrote_at = None
    begin = fleet.now()
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            if has_trouble and wrote_at is None and fleet.now() > begin + CALM_SECONDS:
                await fleet.write("servers", "foreign-1", UNREADABLE)
                wrote_at = fleet.now()
                fleet.note(f"servers/foreign-1 written, {len(UNREADABLE)} bytes")
            group.create_task(send(fleet, number, results))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    split = begin + CALM_SECONDS if wrote_at is None else wrote_at
    before = [answer for at, answer in results if at < split]
    after = [answer for at, answer in results if at >= split]
    if before.count("200") < len(before):
        fail_as_not_run(f"{before.count('200')} of {len(before)} served before")
    fleet.note(f"served before: {before.count('200')} of {len(before)}")
    fleet.note(f"served after: {after.count('200')} of {len(after)}")
    for name, address in fleet.replicas.items():
        _, _, runs = await call(address, "GET", "/stand-in/runs")
        fleet.note(f"ran at {name}: {runs.decode()}")
    broken = 0
    for host in fleet.hosts:
        fleet.note(f"{host.name}: {len(host.exits)} ends by itself")
        broken += len(host.exits) >= MAX_OWN_ENDS
    least = max(MIN_MACHINES, len(fleet.hosts) / 10)
    return broken >= least


async def main() -> int:
    """Run the case and return its exit code."""
    stop_on_sigterm()
    if len(UNREADABLE) > ROW_BYTES:
        fail_as_not_run("the entry is too long")
    with tempfile.TemporaryDirectory(prefix="review-4-") as folder:
        fleet = Fleet(Path(folder), HERE / "record.txt")
        try:
            is_broken = await play(fleet, os.environ.get("TROUBLE") != "0")
            fleet.note("rule broken" if is_broken else "rule held")
        finally:
            await fleet.stop()
    return int(is_broken)


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (TimeoutError, RuntimeError, OSError) as error:
        fail_as_not_run(str(error))
