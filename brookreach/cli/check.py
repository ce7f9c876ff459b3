"""`brookreach check`: reads any file of the program without starting anything."""

from __future__ import annotations

from pathlib import Path

import click

from brookreach.cli.main import print_result


@click.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--show", is_flag=True, help="Print every value, defaults too.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def check(file: Path, show: bool, as_json: bool) -> None:
    """Read FILE as what its ending and content say, and name all that is wrong in it."""
    from brookreach.cli import files
    from brookreach.files import InvalidFileError

    try:
        kind, values = files.read_file(file)
    except InvalidFileError as error:
        errors = error.errors
        print_result(as_json, {"file": str(file), "good": False, "errors": errors}, lambda: "\n".join(errors))
        raise SystemExit(1) from None
    value_lines = f"\n{files.format_values(values)}" if show else ""
    print_result(
        as_json,
        {"file": str(file), "good": True, "kind": kind, **({"values": values} if show else {})},
        lambda: f"{file}: good, {kind}{value_lines}",
    )
