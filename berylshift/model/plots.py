"""Plots of experiments as SVG files."""

import re
from pathlib import Path

import pygal

from berylshift.model.experiment import Row
from berylshift.model.result import WINDOW_SECONDS, PromptOutcome, relative_worth

# No script is loaded from other sites, and the output is deterministic.
STYLE = {
    "width": 900,
    "height": 420,
    "range": (0, 1),
    "legend_at_bottom": True,
    "js": (),
    "no_prefix": True,
}
COMMENT = re.compile(r"<!--.*?-->", re.DOTALL)


def plot_rows(path: str, name: str, rows: list[Row]) -> None:
    """Plot worth by value: over the whole day, its worst seconds and its worst kind."""
    chart = pygal.Bar(**STYLE)
    chart.title = f"Worth by {name}"
    chart.x_labels = [row.value for row in rows]
    chart.add("all of the day", [round(row.worth, 3) for row in rows])
    chart.add("worst seconds", [round(row.worst_seconds, 3) for row in rows])
    chart.add("worst kind", [round(row.worst_kind, 3) for row in rows])
    _write(chart, path)


def plot_day(
    path: str, title: str, outcomes_by_name: dict[str, list[PromptOutcome]]
) -> None:
    """Plot worth over the time of a day, with one line per simulation."""
    chart = pygal.XY(**STYLE, dots_size=1.5, x_title="seconds")
    chart.title = title
    for name, outcomes in outcomes_by_name.items():
        chart.add(name, _worth_series(outcomes))
    _write(chart, path)


def _write(chart: pygal.graph.graph.Graph, path: str) -> None:
    chart.uuid = "chart"
    svg = COMMENT.sub("", chart.render(is_unicode=True))
    Path(path).write_text(svg, encoding="utf-8")


def _worth_series(outcomes: list[PromptOutcome]) -> list[tuple[float, float]]:
    windows: dict[int, list[PromptOutcome]] = {}
    for outcome in outcomes:
        windows.setdefault(int(outcome.at / WINDOW_SECONDS), []).append(outcome)
    return [
        ((window + 0.5) * WINDOW_SECONDS, round(relative_worth(group), 3))
        for window, group in sorted(windows.items())
    ]
