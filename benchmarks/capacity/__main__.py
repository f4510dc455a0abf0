"""python -m benchmarks.capacity --write docs/CAPACITY.md"""

from __future__ import annotations

from pathlib import Path

import click

from benchmarks.capacity.full_size import FullSize
from benchmarks.capacity.page import rendered
from benchmarks.capacity.rows import Slopes
from benchmarks.slopes.model import kept


@click.command()
@click.option("--write", "target", type=click.Path(dir_okay=False, path_type=Path))
def main(target: Path | None) -> None:
    """Work the page out; print it, or write it to a file."""
    text = rendered(Slopes(kept()), FullSize())
    if target:
        target.write_text(text)
    else:
        click.echo(text, nl=False)


if __name__ == "__main__":
    main()
