"""Print listings as tables or JSON."""

from typing import Any

import msgspec

COLUMN_SEPARATOR = "  "


def print_json(value: Any) -> None:
    """Print a value as indented JSON with sorted keys."""
    data = msgspec.json.encode(value, order="sorted")
    print(msgspec.json.format(data).decode())


def print_rows(
    rows: list[dict[str, Any]], columns: list[str], as_json: bool
) -> None:
    """Print rows as JSON, or their columns as a table."""
    if as_json:
        print_json(rows)
        return
    table = [[column.upper() for column in columns]]
    for row in rows:
        table.append([_format_cell(row.get(column)) for column in columns])
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print(COLUMN_SEPARATOR.join(cells).rstrip())


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}"
    return str(value)
