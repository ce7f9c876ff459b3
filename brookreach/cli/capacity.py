"""`brookreach capacity FILE`: what a fleet of these sizes costs each role, beside its budget."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from brookreach.cli.main import out

BAD_FILE = 2  # the exit code


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
        found = read.capacity(file, read_toml(file))
    except InvalidFileError as error:
        click.echo(str(error), err=True)
        raise SystemExit(BAD_FILE) from None
    found = arithmetic.with_sizes(found, _sizes(changed, list(found.size)))
    if page is not None:
        _write(page, table.page(found, role))
        return
    if markdown:
        click.echo(table.page(found, role))
        return
    rows = [row for row in arithmetic.rows_of(found) if role in (None, row.role)]
    out(as_json, {"figures": [_told(row) for row in rows]}, lambda: table.lines(rows))


def _write(page: Path, tables: str) -> None:
    """Replaces what stands between the page's markers; raises ClickException, and then the page is as it was."""
    from brookreach.capacity import table
    from brookreach.files import replace_file

    try:
        text = page.read_text(encoding="utf-8")
        replace_file(page, table.embedded(text, tables).encode())
    except (OSError, UnicodeDecodeError, table.NoMarkers) as error:
        raise click.ClickException(f"{page}: {error}") from None
    click.echo(str(page))


def _sizes(changed: tuple[str, ...], known: list[str]) -> dict[str, float]:
    """What --set asks for; raises UsageError."""
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


def _told(row: Any) -> dict[str, Any]:
    return asdict(row) | {"ratio": row.ratio}
