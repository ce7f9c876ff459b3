"""`brookreach capacity FILE`: what a fleet of given sizes costs each role, beside its budget."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from brookreach.cli.main import print_result

INVALID_FILE_EXIT_CODE = 2


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--role", help="Only this role's figures.")
@click.option("--set", "changed", multiple=True, metavar="NAME=VALUE", help="Another size than the file's; repeatable.")
@click.option("--markdown", is_flag=True, help="Print all tables, as docs/CAPACITY.md embeds them.")
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), help="Put all tables into this page.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def capacity(
    file: Path, role: str | None, changed: tuple[str, ...], markdown: bool, page: Path | None, as_json: bool
) -> None:
    """Print the figures of FILE (TOML: sizes, slopes, budgets), worst ratio to the budget first."""
    from brookreach.capacity import arithmetic, model, read, table
    from brookreach.files import InvalidFileError, read_toml

    if role is not None and role not in model.ROLES:
        raise click.UsageError(f"--role {role!r}; allowed: {', '.join(model.ROLES)}")
    if sum((markdown, as_json, page is not None)) > 1:
        raise click.UsageError("--markdown, --json and --page: one of them is allowed")
    try:
        plan = read.capacity(file, read_toml(file))
    except InvalidFileError as error:
        click.echo(str(error), err=True)
        raise SystemExit(INVALID_FILE_EXIT_CODE) from None
    plan = arithmetic.with_sizes(plan, _parse_sizes(changed, list(plan.size)))
    if page is not None:
        _embed_tables(page, table.page(plan, role))
        return
    if markdown:
        click.echo(table.page(plan, role))
        return
    rows = [row for row in arithmetic.rows_of(plan) if role in (None, row.role)]
    print_result(as_json, {"figures": [_row_values(row) for row in rows]}, lambda: table.lines(rows))


def _embed_tables(page: Path, tables: str) -> None:
    """Replace what stands between a page's markers.

    Raises:
        ClickException: The page can't be read or written, or has no markers; it is as it was.
    """
    from brookreach.capacity import table
    from brookreach.files import replace_file

    try:
        text = page.read_text(encoding="utf-8")
        replace_file(page, table.embedded(text, tables).encode())
    except (OSError, UnicodeDecodeError, table.NoMarkers) as error:
        raise click.ClickException(f"{page}: {error}") from None
    click.echo(str(page))


def _parse_sizes(changed: tuple[str, ...], known: list[str]) -> dict[str, float]:
    """Return the sizes that --set gives, by name.

    Raises:
        UsageError: One of them is not known, or its value not allowed.
    """
    import msgspec

    from brookreach.capacity.model import Number

    sizes = {}
    for text in changed:
        name, _, value = text.partition("=")
        if name not in known:
            raise click.UsageError(f"--set {text!r}: no size {name!r}; allowed: {', '.join(known)}")
        try:
            sizes[name] = msgspec.convert(value, Number, strict=False)
        except msgspec.ValidationError:
            raise click.UsageError(f"--set {text!r}: {value!r}; allowed: a number from 0 to 1e18") from None
    return sizes


def _row_values(row: Any) -> dict[str, Any]:  # any: the module of rows is imported only by the command
    return asdict(row) | {"ratio": row.ratio}
