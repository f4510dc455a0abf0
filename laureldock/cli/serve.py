"""laureldock serve"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import click
import structlog
from twisted.internet.main import installReactor

from laureldock.assembly import Assembly, PreparedReload
from laureldock.cli.config import refuse
from laureldock.logs import Logs
from laureldock.setup.faults import RefusedError, dotted
from laureldock.setup.plan import Plan
from laureldock.setup.platform import of_platform
from laureldock.setup.reading import Override, load, overrides_of
from laureldock.setup.rules import Bounds, check
from laureldock.sockets.reactor import Reread, SteadyReactor
from laureldock.stores.spool import Spool
from laureldock.transient_errors import wait_for


def faults_of(plan: Plan, bounds: Bounds) -> list[str]:
    """Of a platform's plan, where it breaks the rules, in plain words."""
    return [f"{dotted(fault.path)}: {fault.reason}" for fault in check(plan, bounds)]


def waits_for(what: str) -> Callable[[OSError], None]:
    """Logs that a start waits for something which cannot be opened now."""

    def log(error: OSError) -> None:
        structlog.get_logger().warning("start waits", waits_for=what, fault=str(error))

    return log


@click.command("serve", context_settings={"auto_envvar_prefix": "LAURELDOCK"})
@click.argument("file", required=False)
@click.option("--name", show_envvar=True, help="Of this dispatcher.")
@click.option("--seed", type=int, show_envvar=True, help="Of all chance.")
@click.option("--state", show_envvar=True, help="Folder that outlives the process.")
@click.option("--listen", show_envvar=True, help="Where the first front listens, host:port.")
@click.option("--log-level", show_envvar=True, help="debug, info, warning or error.")
@click.option("--log-format", show_envvar=True, help="auto, json or text.")
@click.pass_context
def command(ctx: click.Context, /, file: str | None, **told: Any) -> None:
    """Run a dispatcher by the configuration FILE.

    Without FILE it is told by its platform, through LB_CONFIG and its like. What flags say wins over the
    environment, that over the file, and the file over the defaults. SIGHUP reads the file anew, SIGUSR1 logs
    the counters, SIGTERM ends it in order.
    """
    if file is None and "LB_CONFIG" not in os.environ:
        raise click.UsageError(
            "no configuration: give a FILE (`laureldock config example > laureldock.toml` makes one),"
            " or set LB_CONFIG as a platform does"
        )
    overrides: list[Override] = []
    for name, value in told.items():
        source = ctx.get_parameter_source(name)
        origin = "environment" if source is click.core.ParameterSource.ENVIRONMENT else "flag"
        named = f"LAURELDOCK_{name.upper()}" if origin == "environment" else f"--{name.replace('_', '-')}"
        overrides += overrides_of({name: value}, f"{origin} {named}")
    # Until the handlers stand, SIGHUP would end the process; what it tells meanwhile is read once it runs.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    doubts: list[str] = []
    try:
        if file is None:
            plan, bounds = of_platform(os.environ)
            doubts = faults_of(plan, bounds)
            state = Path(plan.state)
            if not state.is_dir():
                raise ValueError(f"no folder for the spool: {state}")
        else:
            loaded = load(file, overrides)
            plan, state = loaded.plan, loaded.state
            wait_for(partial(state.mkdir, parents=True, exist_ok=True), waits_for("folder"))
    except RefusedError as refused:
        refuse(refused)
        return
    except (ValueError, OSError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None

    ended: list[str] = []
    reactor = wait_for(SteadyReactor, waits_for("reactor"))
    installReactor(reactor)

    def end(fault: str) -> None:
        ended.append(fault)
        reactor.callLater(0, reactor.stop)

    try:
        logs = wait_for(partial(Logs, plan.log, file is None), waits_for("log"))
        store = wait_for(partial(Spool, state, plan.limits.disk), waits_for("spool"))
        assembly = Assembly(plan, state, reactor, end, store)
        if doubts:  # a platform's word holds all the same: no dispatcher stays down for it
            assembly.core.log.warning("settings questionable", faults=doubts[:20], count=len(doubts))
        assembly.core.verbose = plan.log.level == "debug"
        assembly.start()
    except (ValueError, KeyError, TypeError, AttributeError, OSError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None

    def retold() -> None:
        """The platform's file anew: the list's address, queue classes, limits; or nothing of it."""
        try:
            plan, bounds = of_platform(os.environ, again=True)
            if faults := faults_of(plan, bounds):
                raise ValueError("; ".join(faults[:20]))
        except ValueError as fault:
            assembly.report_refused_configuration([str(fault)])
            return
        assembly.apply_platform_settings(plan)

    def fresh() -> PreparedReload | list[str]:
        """The plan of the file as it is now, or its faults."""
        try:
            return PreparedReload.prepare(load(str(file), overrides).plan)
        except RefusedError as refused:
            return [str(fault) for fault in refused.faults]
        except Exception as fault:  # a defect of the reading ends no dispatcher, nor its next reload
            return [f"a defect: {fault!r}"]

    def take_over(found: PreparedReload | list[str]) -> None:
        if isinstance(found, list):
            assembly.report_refused_configuration(found)
        elif not assembly.reload(found):
            logs.retell(found.plan.log)
            assembly.core.verbose = found.plan.log.level == "debug"

    reread = Reread(reactor, fresh, take_over)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(assembly.core.log_counters))
    read_again = reread.ask if file else retold
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(read_again))
    if early:
        reactor.callWhenRunning(read_again)
    reactor.run()
    sys.exit(f"Error: {ended[0]}" if ended else 0)
