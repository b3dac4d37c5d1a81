"""Plots of experiments as SVG files."""

import pygal

from berylshift.model.experiment import Row
from berylshift.model.result import WINDOW_SECONDS, PromptEnd, share_of_worth

WIDTH = 900
HEIGHT = 420


def plot_rows(path: str, name: str, rows: list[Row]) -> None:
    """Plot worth by value: the mean over seeds and what it is in the worst seconds."""
    chart = pygal.Bar(width=WIDTH, height=HEIGHT, range=(0, 1), legend_at_bottom=True)
    chart.title = f"Worth by {name}"
    chart.x_labels = [row.value for row in rows]
    chart.add("all of the day", [round(row.worth, 3) for row in rows])
    chart.add("worst seconds", [round(row.worst_seconds, 3) for row in rows])
    chart.add("worst kind", [round(row.worst_kind, 3) for row in rows])
    chart.render_to_file(path)


def plot_day(path: str, title: str, plays: dict[str, list[PromptEnd]]) -> None:
    """Plot worth over the time of a day, a line for each play."""
    chart = pygal.XY(
        width=WIDTH,
        height=HEIGHT,
        range=(0, 1),
        legend_at_bottom=True,
        dots_size=1.5,
        x_title="seconds",
    )
    chart.title = title
    for name, ends in plays.items():
        chart.add(name, _line(ends))
    chart.render_to_file(path)


def _line(ends: list[PromptEnd]) -> list[tuple[float, float]]:
    windows: dict[int, list[PromptEnd]] = {}
    for end in ends:
        windows.setdefault(int(end.at / WINDOW_SECONDS), []).append(end)
    return [
        ((number + 0.5) * WINDOW_SECONDS, round(share_of_worth(group), 3))
        for number, group in sorted(windows.items())
    ]
