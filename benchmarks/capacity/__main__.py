"""python -m benchmarks.capacity --write docs/CAPACITY.md"""

from __future__ import annotations

from pathlib import Path

import click

from benchmarks.capacity.full_size import FullSize
from benchmarks.capacity.page import render_page
from benchmarks.capacity.rows import Slopes
from benchmarks.slopes.model import load_slopes


@click.command()
@click.option("--write", "target", type=click.Path(dir_okay=False, path_type=Path))
def main(target: Path | None) -> None:
    """Compute the page; print it, or write it to a file."""
    text = render_page(Slopes(load_slopes()), FullSize())
    if target:
        target.write_text(text)
    else:
        click.echo(text, nl=False)


if __name__ == "__main__":
    main()
