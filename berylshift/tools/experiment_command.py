"""The command that plays the model of the fleet."""

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.ui.progress_bar import ProgressBar

from berylshift.model.days import DAYS
from berylshift.model.experiment import Row, UnknownSettingError, vary
from berylshift.model.fleet import ModelFleet, SimulationSpec
from berylshift.model.parameters import SITES
from berylshift.model.plots import plot_day, plot_rows
from berylshift.request.placement_policies import PLACEMENT_POLICIES
from berylshift.tools.session import Exit

PLACING = "placing"


class ExperimentCommand(Command):
    """Varies one thing over seeds and prints a table."""

    name = "experiment"
    description = "Play the model of the fleet while one setting varies."
    options = [
        option("site", None, "Whose figures.", flag=False, default="nestwatch"),
        option("day", None, "Which day.", flag=False, default="heavy"),
        option("seeds", None, "How many seeds.", flag=False, default="5"),
        option(
            "vary",
            None,
            "NAME=VALUE,VALUE: a setting, or a constant of the placement.",
            flag=False,
            default=f"{PLACING}={','.join(PLACEMENT_POLICIES)}",
        ),
        option("plot", None, "Plot the table to this SVG file.", flag=False),
        option("plot-day", None, "Plot the day's first seed to it.", flag=False),
        option("json", None, "Print one JSON object a row."),
    ]

    def handle(self) -> int:
        """Play and print."""
        fault = self._fault()
        if fault:
            self.line_error(f"<error>{fault}</error>")
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

    def _fault(self) -> str:
        """Return what is wrong with the options."""
        if self.option("site") not in SITES:
            return f"--site: one of {', '.join(SITES)}"
        if self.option("day") not in DAYS:
            return f"--day: one of {', '.join(DAYS)}"
        if not self.option("seeds").isdigit() or self.option("seeds") == "0":
            return "--seeds: a number from 1"
        if "=" not in self.option("vary"):
            return "--vary: NAME=VALUE,VALUE"
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
        table.set_rows([[_cell(getattr(row, each)) for each in fields] for row in rows])
        table.render()

    def _plot_day(self, spec: SimulationSpec) -> None:
        plays = {}
        for name in PLACEMENT_POLICIES:
            fleet = ModelFleet(msgspec.structs.replace(spec, placing=name))
            fleet.run()
            plays[name] = fleet.outcomes
        title = f"{self.option('day')} day of {spec.site.name}: worth by time"
        plot_day(self.option("plot-day"), title, plays)


def _cell(value: str | float) -> str:
    if isinstance(value, str):
        return value
    return f"{value:.0f}" if value >= 10 else f"{value:.3f}"
