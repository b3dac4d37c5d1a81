"""The command that fuzzes a real host process."""

import msgspec
import trio
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from berylshift.stand_ins.fuzz.run import FuzzSpec, run_fuzz
from berylshift.tools.session import Exit

SHOWN_VIOLATIONS = 20


class FuzzCommand(Command):
    """Plays one run of the fuzzer."""

    name = "fuzz"
    description = "Send odd requests to a host on this computer, by seed."
    options = [
        option("seed", None, "The seed.", flag=False, default="1"),
        option("seconds", None, "Length of the run.", flag=False, default="20"),
    ]

    def handle(self) -> int:
        """Play the run; exit with an error if something was wrong."""
        try:
            values = {name: self.option(name) for name in ("seed", "seconds")}
            spec = msgspec.convert(values, FuzzSpec, strict=False)
        except msgspec.ValidationError as exc:
            self.line_error(f"<error>{exc}</error>")
            return Exit.BAD_INPUT
        result = trio.run(run_fuzz, spec, self.line)
        answers = " ".join(f"{s}:{n}" for s, n in sorted(result.statuses.items()))
        self.line(
            f"seed {spec.seed}: {result.examples} examples ({answers}),"
            f" {result.sound} other requests, slowest readiness check"
            f" {result.slowest_ready:.2f} s, {len(result.violations)} violations"
        )
        for text in result.violations[:SHOWN_VIOLATIONS]:
            self.io.write_line(f"  {text}", type=Type.RAW)
        if not result.violations:
            return Exit.OK
        self.line(
            f"  again: berylshift fuzz --seed {spec.seed} --seconds {spec.seconds:g}"
        )
        return Exit.FAILED
