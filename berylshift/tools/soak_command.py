"""The command that soaks real host processes under faults."""

import msgspec
import trio
from cleo.commands.command import Command
from cleo.helpers import option

from berylshift.stand_ins.soak.run import SoakResult, SoakSpec, run_soak
from berylshift.tools.session import Exit

SHOWN_VIOLATIONS = 20


class SoakCommand(Command):
    """Plays soak runs one after the other."""

    name = "soak"
    description = "Run hosts, callers and faults on this computer, by seed."
    options = [
        option("seed", None, "The first seed.", flag=False, default="1"),
        option("seeds", None, "How many runs to play.", flag=False, default="1"),
        option("seconds", None, "Length of a run.", flag=False, default="20"),
        option("hosts", None, "Host processes.", flag=False, default="3"),
        option("callers", None, "Callers.", flag=False, default="20"),
        option("silences", None, "Let decode engines pause."),
        option("rejoins", None, "Release engines under streams that are taken up."),
        option("partitions", None, "Partition hosts from each other, with rejoins."),
        option("changes", None, "Change weights and move routes, with rejoins."),
        option("tree", None, "Run hosts of this source tree.", flag=False, default=""),
        option("logs", None, "Keep the hosts' logs here.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Play the runs; exit with an error if one broke a promise."""
        try:
            count = int(self.option("seeds"))
            names = (
                *("seed", "seconds", "hosts", "callers"),
                *("silences", "rejoins", "partitions", "changes", "tree"),
            )
            values = {name: self.option(name) for name in names}
            spec = msgspec.convert(values, SoakSpec, strict=False)
        except (ValueError, msgspec.ValidationError) as exc:
            self.line_error(f"<error>{exc}</error>")
            return Exit.BAD_INPUT
        failed = 0
        for seed in range(spec.seed, spec.seed + count):
            logs = self.option("logs") and f"{self.option('logs')}/seed-{seed}"
            run = msgspec.structs.replace(spec, seed=seed, log_dir=logs)
            result = trio.run(run_soak, run)
            failed += bool(result.violations)
            self._show(run, result)
        self.line(f"{count - failed} passed, {failed} failed")
        return Exit.FAILED if failed else Exit.OK

    def _show(self, spec: SoakSpec, result: SoakResult) -> None:
        statuses = " ".join(
            f"{status or 'none'}:{number}"
            for status, number in sorted(result.statuses.items())
        )
        self.line(
            f"seed {result.seed}: {result.requests} requests ({statuses}),"
            f" {result.events} faults, {result.peak_mb:.0f} MiB at most,"
            f" {len(result.violations)} violations"
        )
        if result.streams:
            ends = sorted(result.streams.items())
            self.line("  streams: " + " ".join(f"{end}:{n}" for end, n in ends))
        if not result.violations:
            return
        for line in result.violations[:SHOWN_VIOLATIONS]:
            self.line(f"  {line}")
        more = " --silences" if spec.silences else ""
        more += " --rejoins" if spec.rejoins else ""
        more += " --partitions" if spec.partitions else ""
        more += " --changes" if spec.changes else ""
        more += f" --tree {spec.tree}" if spec.tree else ""
        self.line(
            f"  again: berylshift soak --seed {spec.seed} --seconds {spec.seconds:g}"
            f" --hosts {spec.hosts} --callers {spec.callers}{more}"
        )
