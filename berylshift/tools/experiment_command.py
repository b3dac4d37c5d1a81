"""The command that runs the fleet simulation."""

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.ui.progress_bar import ProgressBar

from berylshift.model.days import DAYS
from berylshift.model.experiment import Row, UnknownSettingError, vary
from berylshift.model.fleet import ModelFleet, SimulationSpec
from berylshift.model.parameters import SITES
from berylshift.model.plots import plot_day, plot_rows
from berylshift.scheduling.placement_policies import PLACEMENT_POLICIES
from berylshift.tools.session import Exit

PLACEMENT_SETTING = "placing"


class ExperimentCommand(Command):
    """Simulates the fleet over several seeds and values of one setting."""

    name = "experiment"
    description = "Simulate the fleet for several values of one setting."
    options = [
        option(
            "site",
            None,
            "The site to simulate.",
            flag=False,
            default="nestwatch",
        ),
        option("day", None, "The traffic pattern.", flag=False, default="heavy"),
        option("seeds", None, "Number of seeds per value.", flag=False, default="5"),
        option(
            "vary",
            None,
            "NAME=VALUE,VALUE: a setting, or a constant of the placement policy.",
            flag=False,
            default=f"{PLACEMENT_SETTING}={','.join(PLACEMENT_POLICIES)}",
        ),
        option("plot", None, "Plot the table to this SVG file.", flag=False),
        option(
            "plot-day",
            None,
            "Plot the first seed to this SVG file.",
            flag=False,
        ),
        option("json", None, "Print one JSON object per row."),
    ]

    def handle(self) -> int:
        """Run the simulations and print the results."""
        error = self._option_error()
        if error:
            self.line_error(f"<error>{error}</error>")
            return Exit.BAD_INPUT
        name, _, values = self.option("vary").partition("=")
        spec = DAYS[self.option("day")](SITES[self.option("site")])
        try:
            rows = self._rows(spec, name, values.split(","))
        except (UnknownSettingError, ValueError) as exc:
            self.line_error(f"<error>{exc}</error>")
            return Exit.BAD_INPUT
        self._print(name, rows)
        if self.option("plot"):
            plot_rows(self.option("plot"), name, rows)
        if self.option("plot-day"):
            self._plot_day(spec)
        return Exit.OK

    def _option_error(self) -> str:
        """Return the first error in the options, or an empty string."""
        if self.option("site") not in SITES:
            return f"--site must be one of {', '.join(SITES)}"
        if self.option("day") not in DAYS:
            return f"--day must be one of {', '.join(DAYS)}"
        if not self.option("seeds").isdigit() or self.option("seeds") == "0":
            return "--seeds must be a number from 1"
        if "=" not in self.option("vary"):
            return "--vary must have the form NAME=VALUE,VALUE"
        return ""

    def _rows(self, spec: SimulationSpec, name: str, values: list[str]) -> list[Row]:
        bar = ProgressBar(self.io.error_output, len(values))
        bar.start()
        rows = []
        for value in values:
            rows += vary(spec, name, [value], int(self.option("seeds")))
            bar.advance()
        bar.finish()
        self.line_error("")
        return rows

    def _print(self, name: str, rows: list[Row]) -> None:
        if self.option("json"):
            for row in rows:
                self.line(msgspec.json.encode(row).decode())
            return
        fields = [field.name for field in msgspec.structs.fields(Row)]
        table = self.table()
        table.set_headers([name, *fields[1:]])
        table.set_rows(
            [[_format_cell(getattr(row, each)) for each in fields] for row in rows]
        )
        table.render()

    def _plot_day(self, spec: SimulationSpec) -> None:
        ends_by_policy = {}
        for name in PLACEMENT_POLICIES:
            fleet = ModelFleet(msgspec.structs.replace(spec, placing=name))
            fleet.run()
            ends_by_policy[name] = fleet.outcomes
        title = f"{self.option('day')} day of {spec.site.name}: worth by time"
        plot_day(self.option("plot-day"), title, ends_by_policy)


def _format_cell(value: str | float) -> str:
    if isinstance(value, str):
        return value
    return f"{value:.0f}" if value >= 10 else f"{value:.3f}"
