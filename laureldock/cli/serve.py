"""laureldock serve"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NoReturn

import click
import structlog
from twisted.internet.main import installReactor

from laureldock.assembly import Assembly, PreparedReload
from laureldock.cli.config import exit_with_faults
from laureldock.core import MAX_BODY_BYTES
from laureldock.core.memory_limit import (
    HANDOVER_PROCESSES,
    RefusedMemoryError,
    expected_processes,
    listed_count,
    memory_budget,
)
from laureldock.delivery_memory import required_bytes
from laureldock.logs import Logs
from laureldock.process_memory import resident_bytes, return_freed_memory
from laureldock.setup.faults import RefusedError, dotted
from laureldock.setup.plan import Plan
from laureldock.setup.platform import plan_from_platform
from laureldock.setup.reading import Override, load, overrides_of
from laureldock.setup.rules import Bounds, check
from laureldock.sockets.reactor import BackgroundReader, MonotonicReactor
from laureldock.stores.disk_room import RefusedDiskError, check_disk, holds_largest_message, required_disk
from laureldock.stores.spool import Spool
from laureldock.transient_errors import wait_for


def end_process(errors: list[str]) -> NoReturn:
    """End the process at once, with the first of the errors and status 1 if there are any.

    To tear the interpreter down takes a tenth of a second, and more on a busy machine. Meanwhile responses to
    calls in flight arrive and are not read, and the next process waits for the lock on the spool.
    """
    if errors:
        sys.stderr.write(f"Error: {errors[0]}\n")
    sys.stderr.flush()
    os._exit(1 if errors else 0)


def faults_in_plan(plan: Plan, bounds: Bounds) -> list[str]:
    """Faults of a platform's plan by the rules, as text."""
    return [f"{dotted(fault.path)}: {fault.reason}" for fault in check(plan, bounds)]


def log_wait(what: str) -> Callable[[OSError], None]:
    """A callback that logs that startup waits for something which cannot be opened now."""

    def log(error: OSError) -> None:
        structlog.get_logger().warning("start waits", waits_for=what, fault=str(error))

    return log


def warn_of_small_memory(assembly: Assembly) -> None:
    """Log where the limit on memory holds one process, but not the two of a handover."""
    memory = assembly.memory
    needed = required_bytes(memory.resident, listed_count(assembly.plan), HANDOVER_PROCESSES)
    if assembly.plan.passed >= 0 and memory.limit < needed:
        assembly.core.log.error(
            "memory holds one process, not the two of a handover",
            limit_mb=round(memory.limit / 1e6),
            needed_mb=round(needed / 1e6),
        )


def warn_of_small_disk(assembly: Assembly) -> None:
    """Log where the limit on the state folder has no room for the largest message."""
    limit, processes = assembly.plan.limits.disk, expected_processes(assembly.plan)
    if not holds_largest_message(limit, processes):
        assembly.core.log.error(
            "the state folder has no room for the largest message",
            limit_kb=round(limit / 1e3),
            needed_kb=round(required_disk(MAX_BODY_BYTES, processes) / 1e3),
        )


@click.command("serve", context_settings={"auto_envvar_prefix": "LAURELDOCK"})
@click.argument("file", required=False)
@click.option("--name", show_envvar=True, help="Name of this dispatcher.")
@click.option("--seed", type=int, show_envvar=True, help="Seed of all random choices.")
@click.option("--state", show_envvar=True, help="Persistent state folder.")
@click.option("--listen", show_envvar=True, help="Address of the first front, host:port.")
@click.option("--log-level", show_envvar=True, help="debug, info, warning or error.")
@click.option("--log-format", show_envvar=True, help="auto, json or text.")
@click.pass_context
def command(ctx: click.Context, /, file: str | None, **options: Any) -> None:
    """Run a dispatcher with the configuration FILE.

    Without FILE, the platform configures it through LB_CONFIG and the other LB_ variables. Flags override the
    environment, which overrides the file, which overrides the defaults. SIGHUP reads the file again, SIGUSR1
    logs the counters, SIGTERM shuts down gracefully.
    """
    if file is None and "LB_CONFIG" not in os.environ:
        raise click.UsageError(
            "no configuration: give a FILE (`laureldock config example > laureldock.toml` writes one),"
            " or set LB_CONFIG as a platform does"
        )
    overrides: list[Override] = []
    for name, value in options.items():
        source = ctx.get_parameter_source(name)
        origin = "environment" if source is click.core.ParameterSource.ENVIRONMENT else "flag"
        label = f"LAURELDOCK_{name.upper()}" if origin == "environment" else f"--{name.replace('_', '-')}"
        overrides += overrides_of({name: value}, f"{origin} {label}")
    # Without a handler SIGHUP would end the process. One that comes during startup is kept, and the file is
    # read again once the dispatcher runs.
    early_signals: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_signals.append(number))
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    plan_faults: list[str] = []
    try:
        if file is None:
            plan, bounds = plan_from_platform(os.environ)
            plan_faults = faults_in_plan(plan, bounds)
            state = Path(plan.state)
            if not state.is_dir():
                raise ValueError(f"the state folder does not exist: {state}")
        else:
            loaded = load(file, overrides)
            plan, state = loaded.plan, loaded.state
            wait_for(partial(state.mkdir, parents=True, exist_ok=True), log_wait("folder"))
    except RefusedError as refused:
        exit_with_faults(refused)
        return
    except (ValueError, OSError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None

    errors: list[str] = []
    reactor = wait_for(MonotonicReactor, log_wait("reactor"))
    installReactor(reactor)

    def end(fault: str) -> None:
        errors.append(fault)
        reactor.callLater(0, reactor.stop)

    try:
        check_disk(plan.limits.disk)
        return_freed_memory()
        memory = memory_budget(plan, resident_bytes())
        logs = wait_for(partial(Logs, plan.log, file is None), log_wait("log"))
        store = wait_for(partial(Spool, state, plan.limits.disk), log_wait("spool"))
        assembly = Assembly(plan, state, reactor, end, store, memory)
        warn_of_small_memory(assembly)
        warn_of_small_disk(assembly)
        if plan_faults:  # applied all the same: a dispatcher must not stay down for them
            assembly.core.log.warning(
                "settings questionable", faults=plan_faults[:20], count=len(plan_faults)
            )
        assembly.core.verbose = plan.log.level == "debug"
        assembly.start()
    except (RefusedMemoryError, RefusedDiskError) as refusal:
        raise click.ClickException(f"cannot start: {refusal}") from None
    except (ValueError, KeyError, TypeError, AttributeError, OSError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None

    def reload_platform_file() -> None:
        """Read the platform's file again and apply it, or keep all settings if it has a fault.

        It may change the address of the endpoint list, queue classes and limits.
        """
        try:
            plan, bounds = plan_from_platform(os.environ, reload=True)
            if faults := faults_in_plan(plan, bounds):
                raise ValueError("; ".join(faults[:20]))
            memory_budget(plan, round(memory.resident))
        except (ValueError, RefusedMemoryError) as fault:
            assembly.report_refused_configuration([str(fault)])
            return
        assembly.apply_platform_settings(plan)

    def read_file() -> PreparedReload | list[str]:
        """The plan of the file as it is now, or its faults as text."""
        try:
            return PreparedReload.prepare(load(str(file), overrides).plan)
        except RefusedError as refused:
            return [str(fault) for fault in refused.faults]
        except Exception as fault:  # an internal error must stop neither the dispatcher nor later reloads
            return [f"internal error: {fault!r}"]

    def apply_file(found: PreparedReload | list[str]) -> None:
        if isinstance(found, list):
            assembly.report_refused_configuration(found)
        elif not assembly.reload(found):
            logs.reconfigure(found.plan.log)
            assembly.core.verbose = found.plan.log.level == "debug"

    reread = BackgroundReader(reactor, read_file, apply_file)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(assembly.core.log_counters))
    reload_configuration = reread.request if file else reload_platform_file
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload_configuration))
    if early_signals:
        reactor.callWhenRunning(reload_configuration)
    reactor.run()
    logs.file.flush()
    end_process(errors)
