"""laureldock rehearse"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from pathlib import Path

import click

REPEATED_SHARE = 0.3  # fraction of the responses that servers send again, where they do


@click.group("rehearse", invoke_without_command=True)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the load and of the stub receivers' delays."
)
@click.option("--rate", default=30.0, show_default=True, help="Messages per second.")
@click.option("--kill", type=float, help="Time in seconds at which the dispatcher is killed and restarted.")
@click.option("--folder", type=click.Path(path_type=Path), help="Working folder, kept; default: temporary.")
@click.option("--json", "as_json", is_flag=True, help="The verdicts as JSON.")
@click.pass_context
def command(
    ctx: click.Context, /, seed: int, rate: float, kill: float | None, folder: Path | None, as_json: bool
) -> None:
    """Run half a minute of faults on loopback, and check the delivery rules.

    A dispatcher with the example configuration serves a few hundred messages of all three effects. One stub
    receiver refuses calls for a while, one stops responding, one recovers slowly, one fails, one is drained.
    The six rules are checked by the records of stub receivers and clients. Exit 1 if one was broken or not
    tried.
    """
    if ctx.invoked_subcommand:
        return
    try:
        from laureldock.rehearsal.scripted_run import Script, format_table, play
    except ImportError as fault:
        hint = "pip install 'laureldock[rehearse]'"
        raise click.ClickException(f"{fault}; the rehearsal needs its extra: {hint}") from None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            script = Script(seed=seed, rate=rate, kill=kill)
            result = play(folder or Path(temporary), script, lambda line: click.echo(line, err=as_json))
        except TimeoutError as fault:
            raise click.ClickException(str(fault)) from None
    if as_json:
        rules = {
            each.rule: {"counted": each.cases, "broken": each.violations} for each in result.rule_results
        }
        click.echo(json.dumps({"held": result.passed, "rules": rules}))
    else:
        click.echo("\n".join(format_table(result)))
    raise SystemExit(0 if result.passed else 1)


@command.command()
@click.argument("script", required=False)
@click.option("--seed", default=1, show_default=True, help="Seed of faults, corruption and messages.")
@click.option("--dispatchers", type=int, help="Number of dispatchers; default: the script's.")
@click.option("--period", default=0.2, show_default=True, help="Seconds between probes.")
@click.option("--rate", default=10.0, show_default=True, help="Messages per second, over all dispatchers.")
@click.option("--model", is_flag=True, help="Simulate on a manual clock, without processes or messages.")
@click.option("--folder", type=click.Path(path_type=Path), help="Working folder, kept; default: temporary.")
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
def fleet(
    script: str | None, seed: int, dispatchers: int | None, period: float, rate: float, model: bool,
    folder: Path | None, as_json: bool,
) -> None:  # fmt: skip
    """Run SCRIPT of faults in a fleet of real processes on loopback; without it, list the shipped scripts.

    Each dispatcher has its own address, and a relay in front of it that drops and corrupts traffic. Exit 1 if
    the views were not equal in time after the last fault, or a rule was broken for any message.
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
            f" {verdict.bytes_per_member_period:.0f} bytes per member and period"
        )
        for rule, cases, broken in verdict.rules:
            click.echo(f"  {rule:36} {f'BROKEN {broken} times' if broken else 'held'} in {cases} cases")
        for each in verdict.broken:
            click.echo(f"  {each}")
    raise SystemExit(0 if verdict.passed else 1)


@command.command()
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the first dispatcher; the others count up."
)
@click.option("--dispatchers", default=24, show_default=True, help="Number of concurrent processes.")
@click.option("--seconds", default=60.0, show_default=True, help="Duration of load and faults.")
@click.option("--rate", default=6.0, show_default=True, help="Messages per second and dispatcher.")
@click.option("--hand-over", is_flag=True, help="Hand over between processes on a passed socket.")
@click.option("--platform", is_flag=True, help="Use a platform's endpoint list and notices.")
@click.option("--crowds", is_flag=True, help="Crowds of slow clients, signals in series, watched memory.")
@click.option(
    "--repeat-within",
    default=0.0,
    show_default=True,
    help="Servers send 3 of 10 responses again, within so many milliseconds; 0: none.",
)
@click.option("--folder", type=click.Path(path_type=Path), help="Working folder, kept; default: temporary.")
def soak(
    seed: int,
    dispatchers: int,
    seconds: float,
    rate: float,
    hand_over: bool,
    platform: bool,
    crowds: bool,
    repeat_within: float,
    folder: Path | None,
) -> None:
    """Soak real dispatchers on loopback under overlapping faults, drawn by seeds.

    Kills, planned stops, reloads, drains; receivers and connections that fail; clients that misbehave; system
    calls that fail; a wall clock that is stepped. Exit 1 if a rule or an invariant was broken for a message.
    """
    try:
        from laureldock.rehearsal.response_repeats import ResponseRepeats
        from laureldock.rehearsal.soak.run import soak as play
        from laureldock.rehearsal.soak.soak_result import SoakResult
    except ImportError as fault:
        hint = "pip install 'laureldock[rehearse]'"
        raise click.ClickException(f"{fault}; the rehearsal needs its extra: {hint}") from None

    def print_result(result: SoakResult) -> None:
        click.echo("\n".join([result.summary(), *result.report()]))

    repeats = ResponseRepeats(REPEATED_SHARE, 0.0, repeat_within / 1000) if repeat_within else None
    with tempfile.TemporaryDirectory() as temporary:
        seeds = range(seed, seed + dispatchers)
        results = asyncio.run(
            play(
                folder or Path(temporary),
                seeds,
                seconds,
                rate,
                print_result,
                hand_over,
                platform,
                repeats,
                crowds,
            )
        )
    failed_seeds = [each.seed for each in results if each.failures]
    click.echo(
        f"{len(results) - len(failed_seeds)} of {len(results)} held"
        + (f"; broken: {failed_seeds}" if failed_seeds else "")
    )
    raise SystemExit(1 if failed_seeds else 0)


@command.command()
@click.option("--members", default=100, show_default=True, help="Hollow and real members together.")
@click.option("--real", default=24, show_default=True, help="Members that are real dispatcher processes.")
@click.option("--script", default="all", show_default=True, help="Phases in order, separated by commas.")
@click.option("--seed", default=1, show_default=True, help="Seed of victims, losses and jitter.")
@click.option("--period", default=1.0, show_default=True, help="Seconds between probes.")
@click.option("--delays", default=1.0, show_default=True, help="Factor of the modelled delays; 0: none.")
@click.option("--in-process", default=64, show_default=True, help="Maximum hollow members per process.")
@click.option("--filled", is_flag=True, help="Let hollow members know each other at startup.")
@click.option("--controller/--no-controller", default=True, show_default=True, help="Follow a configuration.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="File for the results as JSON.")
@click.option("--plot", "plot_file", type=click.Path(path_type=Path), help="File for a plot of the results.")
@click.option("--folder", type=click.Path(path_type=Path), help="Working folder, kept; default: temporary.")
def scale(
    members: int, real: int, script: str, seed: int, period: float, delays: float, in_process: int,
    filled: bool, controller: bool, json_file: Path | None, plot_file: Path | None, folder: Path | None,
) -> None:  # fmt: skip
    """Measure the control traffic of a large fleet on loopback against its budgets.

    Most members are hollow: they run the view and follow the configuration over real sockets, but accept no
    messages. They are in regions and zones with modelled delays. An exceeded budget is printed as `over`.
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
