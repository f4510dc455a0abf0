"""laureldock controller"""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import click
from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor

from laureldock.cli.config import exit_with_faults
from laureldock.controller.service import ControllerService
from laureldock.logs import Logs
from laureldock.replication.change_log import CorruptedLogError
from laureldock.setup.catalog import RefusedChangeError
from laureldock.setup.faults import Fault, LocatedFault, RefusedError
from laureldock.setup.reading import load
from laureldock.sockets.reactor import MonotonicReactor


@click.command("controller")
@click.argument("file")
def command(file: str) -> None:
    """Run a controller with the configuration FILE, which has a [controller] table and no entries.

    It accepts changes (`laureldock config apply`), stores them in its state folder, and sends them to the
    dispatchers that name it in [source]. SIGUSR1 logs the counters, SIGTERM shuts down gracefully.
    """
    try:
        plan = load(file).plan
        if plan.controller is None:
            raise RefusedError(
                [LocatedFault(file, 0, Fault(("controller",), "is missing", "a table [controller]"))]
            )
    except RefusedError as refused:
        exit_with_faults(refused)
        return
    reactor = MonotonicReactor()
    installReactor(reactor)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)  # ignored until there are counters to log
    try:
        Logs(plan.log)
        service = ControllerService(plan, Path(file).parent / plan.controller.state, reactor)
        service.start()
    except RefusedChangeError as refused_state:
        faults = [LocatedFault(f"{file}: state", 0, fault) for fault in refused_state.faults]
        click.echo("the accepted configuration does not fit this file any more:", err=True)
        exit_with_faults(RefusedError(faults))
    except (CorruptedLogError, CannotListenError, OSError, ValueError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(service.log_counters))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(service.stop))
    reactor.run(installSignalHandlers=False)
    sys.exit(0)
