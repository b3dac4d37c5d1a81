"""Plots of experiments as SVG files."""

import re
from pathlib import Path

import pygal

from berylshift.model.experiment import Row
from berylshift.model.result import WINDOW_SECONDS, PromptEnd, share_of_worth

# No script is loaded from elsewhere; the same play gives the same file.
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
    """Plot worth by value: the mean over seeds and what it is in the worst seconds."""
    chart = pygal.Bar(**STYLE)
    chart.title = f"Worth by {name}"
    chart.x_labels = [row.value for row in rows]
    chart.add("all of the day", [round(row.worth, 3) for row in rows])
    chart.add("worst seconds", [round(row.worst_seconds, 3) for row in rows])
    chart.add("worst kind", [round(row.worst_kind, 3) for row in rows])
    _write(chart, path)


def plot_day(path: str, title: str, plays: dict[str, list[PromptEnd]]) -> None:
    """Plot worth over the time of a day, a line for each play."""
    chart = pygal.XY(**STYLE, dots_size=1.5, x_title="seconds")
    chart.title = title
    for name, ends in plays.items():
        chart.add(name, _line(ends))
    _write(chart, path)


def _write(chart: pygal.graph.graph.Graph, path: str) -> None:
    chart.uuid = "chart"
    svg = COMMENT.sub("", chart.render(is_unicode=True))
    Path(path).write_text(svg, encoding="utf-8")


def _line(ends: list[PromptEnd]) -> list[tuple[float, float]]:
    windows: dict[int, list[PromptEnd]] = {}
    for end in ends:
        windows.setdefault(int(end.at / WINDOW_SECONDS), []).append(end)
    return [
        ((number + 0.5) * WINDOW_SECONDS, round(share_of_worth(group), 3))
        for number, group in sorted(windows.items())
    ]
