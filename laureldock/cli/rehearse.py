"""laureldock rehearse"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import click


@click.command("rehearse")
@click.option("--seed", default=1, show_default=True, help="Of the load and of the stand-ins' pace.")
@click.option("--rate", default=30.0, show_default=True, help="Mails a second.")
@click.option("--kill", type=float, help="Second at which the dispatcher is killed and started again.")
@click.option("--folder", type=click.Path(path_type=Path), help="Kept afterwards; else a temporary one.")
@click.option("--json", "as_json", is_flag=True, help="The verdicts as JSON.")
def command(seed: int, rate: float, kill: float | None, folder: Path | None, as_json: bool) -> None:
    """Rehearse half a minute of trouble on loopback, and judge it.

    A dispatcher by the example configuration serves some hundred mails of all three effects. One stand-in
    receiver refuses for a while, one goes silent, one comes back cold, one fails, one is drained. The six
    rules are judged by an account that stand-ins and clients keep. Exit 1 if one was broken or not tried.
    """
    try:
        from laureldock.rehearsal.play import Script, play, table
    except ImportError as fault:
        hint = "pip install 'laureldock[rehearse]'"
        raise click.ClickException(f"{fault}; the rehearsal needs its extra: {hint}") from None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            script = Script(seed=seed, rate=rate, kill=kill)
            outcome = play(folder or Path(temporary), script, lambda line: click.echo(line, err=as_json))
        except TimeoutError as fault:
            raise click.ClickException(str(fault)) from None
    if as_json:
        told = {each.rule: {"counted": each.counted, "broken": each.broken} for each in outcome.verdicts}
        click.echo(json.dumps({"held": outcome.held, "rules": told}))
    else:
        click.echo("\n".join(table(outcome)))
    raise SystemExit(0 if outcome.held else 1)
