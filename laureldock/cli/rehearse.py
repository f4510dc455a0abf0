"""laureldock rehearse"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from pathlib import Path

import click


@click.group("rehearse", invoke_without_command=True)
@click.option("--seed", default=1, show_default=True, help="Of the load and of the stand-ins' pace.")
@click.option("--rate", default=30.0, show_default=True, help="Mails a second.")
@click.option("--kill", type=float, help="Second at which the dispatcher is killed and started again.")
@click.option("--folder", type=click.Path(path_type=Path), help="Kept afterwards; else a temporary one.")
@click.option("--json", "as_json", is_flag=True, help="The verdicts as JSON.")
@click.pass_context
def command(
    ctx: click.Context, /, seed: int, rate: float, kill: float | None, folder: Path | None, as_json: bool
) -> None:
    """Rehearse half a minute of trouble on loopback, and judge it.

    A dispatcher by the example configuration serves some hundred mails of all three effects. One stand-in
    receiver refuses for a while, one goes silent, one comes back cold, one fails, one is drained. The six
    rules are judged by an account that stand-ins and clients keep. Exit 1 if one was broken or not tried.
    """
    if ctx.invoked_subcommand:
        return
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


@command.command()
@click.argument("script", required=False)
@click.option("--seed", default=1, show_default=True, help="Of what is drawn, spoilt and handed in.")
@click.option("--dispatchers", type=int, help="Other than the script's number of members.")
@click.option("--period", default=0.2, show_default=True, help="Seconds between probes.")
@click.option("--rate", default=10.0, show_default=True, help="Mails a second, over all dispatchers.")
@click.option("--model", is_flag=True, help="On one clock set by hand, with no processes and no mails.")
@click.option("--folder", type=click.Path(path_type=Path), help="Kept afterwards; else a temporary one.")
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
def fleet(
    script: str | None, seed: int, dispatchers: int | None, period: float, rate: float, model: bool,
    folder: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Rehearse faults among a fleet of real processes on loopback, by SCRIPT; without it, list those shipped.

    Each dispatcher has an address of its own, and a relay before it that cuts and spoils what passes. Exit 1
    if views were not equal in time after the last fault, or a rule was broken for any mail.
    """
    try:
        from laureldock.rehearsal.fleet.processes import play
        from laureldock.rehearsal.fleet.script import load_script, shipped_scripts
        from laureldock.rehearsal.fleet.simulated import SimulatedRun
        from laureldock.rehearsal.fleet.verdict import format_timeline
    except ImportError as fault:
        hint = "pip install 'laureldock[rehearse]'"
        raise click.ClickException(f"{fault}; the rehearsal needs its extra: {hint}") from None
    if script is None:
        for name in shipped_scripts():
            click.echo(f"{name:10} {load_script(name).about}")
        return
    try:
        found = load_script(script)
        found.members = dispatchers or found.members
        found.timeline(seed)
    except (OSError, ValueError) as fault:
        raise click.BadParameter(str(fault), param_hint="SCRIPT") from None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            if model:
                verdict = SimulatedRun(found, seed).play()
            else:
                verdict = play(
                    found, seed, folder or Path(temporary), lambda line: click.echo(line, err=as_json),
                    period=period, rate=rate,
                )  # fmt: skip
        except (TimeoutError, RuntimeError) as fault:
            raise click.ClickException(str(fault)) from None
    if as_json:
        click.echo(json.dumps(verdict.fields()))
    else:
        if not verdict.passed:
            click.echo("\n".join(format_timeline(found, verdict)))
        click.echo(
            f"{found.name}, seed {seed}: {'held' if verdict.passed else 'BROKEN'}; views equal"
            f" {verdict.settled_periods:.1f} periods after the last fault, {len(verdict.events)} events,"
            f" {verdict.bytes_per_member_period:.0f} bytes a member and period"
        )
        for rule, cases, broken in verdict.rules:
            click.echo(f"  {rule:36} {f'BROKEN {broken} times' if broken else 'held'} in {cases} cases")
        for each in verdict.broken:
            click.echo(f"  {each}")
    raise SystemExit(0 if verdict.passed else 1)


@command.command()
@click.option("--seed", default=1, show_default=True, help="Of the first dispatcher; the others count on.")
@click.option("--dispatchers", default=24, show_default=True, help="Real processes, all at once.")
@click.option("--seconds", default=60.0, show_default=True, help="Of load and troubles.")
@click.option("--rate", default=6.0, show_default=True, help="Mails a second, for each dispatcher.")
@click.option("--hand-over", is_flag=True, help="On a passed socket, from process to process.")
@click.option("--platform", is_flag=True, help="With the list of receivers and the notices of a platform.")
@click.option("--folder", type=click.Path(path_type=Path), help="Kept afterwards; else a temporary one.")
def soak(
    seed: int,
    dispatchers: int,
    seconds: float,
    rate: float,
    hand_over: bool,
    platform: bool,
    folder: Path | None,
) -> None:
    """Soak real dispatchers on loopback under troubles that overlap, drawn by seeds.

    Kills, planned stops, reloads, drains; receivers and connections that fail; clients that misbehave; system
    calls that fail; a wall clock that is stepped. Exit 1 if a rule or an invariant was broken for any mail.
    """
    try:
        from laureldock.rehearsal.soak.findings import Findings
        from laureldock.rehearsal.soak.run import soak as play
    except ImportError as fault:
        hint = "pip install 'laureldock[rehearse]'"
        raise click.ClickException(f"{fault}; the rehearsal needs its extra: {hint}") from None

    def say(found: Findings) -> None:
        word = "BROKEN" if found.broken else "held"
        click.echo(
            f"seed {found.seed}: {word}; {found.handed_in} handed in, {found.accepted} accepted,"
            f" {found.delivered} delivered, {found.restarts} restarts, {found.hand_overs} hand-overs,"
            f" {len(found.troubles)} troubles; stand-ins late by {found.held_up:.2f}s at most, at"
            f" {found.held_up_at:.1f}s"
        )
        for each in found.broken:
            click.echo(f"  {each}")
        for each in [*found.stories, *found.troubles] if found.broken else []:
            click.echo(f"    {each}")

    with tempfile.TemporaryDirectory() as temporary:
        seeds = range(seed, seed + dispatchers)
        found = asyncio.run(play(folder or Path(temporary), seeds, seconds, rate, say, hand_over, platform))
    broken = [each.seed for each in found if each.broken]
    click.echo(f"{len(found) - len(broken)} of {len(found)} held" + (f"; broken: {broken}" if broken else ""))
    raise SystemExit(1 if broken else 0)


@command.command()
@click.option("--members", default=100, show_default=True, help="Hollow and real together.")
@click.option(
    "--real", default=24, show_default=True, help="Of them, real dispatchers as processes of their own."
)
@click.option("--script", default="all", show_default=True, help="Phases in their order, divided by commas.")
@click.option("--seed", default=1, show_default=True, help="Of what is drawn: victims, losses, jitter.")
@click.option("--period", default=1.0, show_default=True, help="Seconds between probes of the view.")
@click.option("--delays", default=1.0, show_default=True, help="Times the modelled delays; 0: none.")
@click.option("--in-process", default=64, show_default=True, help="Hollow members in a process, at most.")
@click.option("--filled", is_flag=True, help="Hollow members know each other at the start.")
@click.option("--controller/--no-controller", default=True, show_default=True, help="Follow a configuration.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="The results, kept as JSON.")
@click.option("--plot", "plot_file", type=click.Path(path_type=Path), help="The results as a picture.")
@click.option("--folder", type=click.Path(path_type=Path), help="Kept afterwards; else a temporary one.")
def scale(
    members: int, real: int, script: str, seed: int, period: float, delays: float, in_process: int,
    filled: bool, controller: bool, json_file: Path | None, plot_file: Path | None, folder: Path | None,
) -> None:  # fmt: skip
    """Measure what control costs a fleet of many members on loopback, beside its budgets.

    Most members are hollow: they run the view and follow the configuration over real sockets, and take no
    mails. They stand in regions and zones with modelled delays. A budget that is failed is printed as `over`.
    """
    from laureldock.rehearsal.scale import report
    from laureldock.rehearsal.scale.runner import ScaleRun
    from laureldock.rehearsal.scale.script import PHASES, Timing
    from laureldock.rehearsal.scale.settings import RunSettings
    from laureldock.rehearsal.scale.topology import World

    phases = list(PHASES) if script == "all" else script.split(",")
    world = World(members - real, real, net=16 + os.getpid() % 200, seed=seed, delay_factor=delays)
    with tempfile.TemporaryDirectory() as temporary:
        settings = RunSettings(
            world,
            Timing(period, filled=filled),
            phases,
            folder or Path(temporary),
            in_process,
            controller=controller,
        )
        settings.folder.mkdir(parents=True, exist_ok=True)
        try:
            run = ScaleRun(settings, lambda line: click.echo(line, err=True))
        except ValueError as fault:
            raise click.UsageError(str(fault)) from None
        try:
            result = asyncio.run(run.play())
        except* (OSError, TimeoutError, RuntimeError) as faults:
            raise click.ClickException(str(faults.exceptions[0])) from None
    click.echo("\n".join(report.table(result)))
    if json_file:
        json_file.write_bytes(report.as_json(result))
    if plot_file:
        try:
            from laureldock.rehearsal.scale.plot import plot

            plot([report.document(result)], plot_file)
        except ImportError as fault:
            hint = "pip install 'laureldock[plots]'"
            raise click.ClickException(f"{fault}; a plot needs its extra: {hint}") from None
