"""Prints benchmark results as a table and as JSON lines."""

import sys

import msgspec


def print_rows(rows: list[dict]) -> None:
    """Print rows with the same keys, first as an aligned table, then as JSON lines."""
    if not rows:
        return
    names = list(rows[0])
    widths = [
        max(len(str(row[n])) for row in [dict.fromkeys(names, n), *rows]) for n in names
    ]
    widths = [max(width, len(name)) for width, name in zip(widths, names, strict=True)]
    lines = [_format_line(names, widths)]
    lines += [_format_line([str(row[name]) for name in names], widths) for row in rows]
    lines += [msgspec.json.encode(row).decode() for row in rows]
    sys.stdout.write("\n".join(lines) + "\n")


def _format_line(cells: list[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()
