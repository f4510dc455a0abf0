"""The command line: a file for each sub-command."""

from __future__ import annotations

from importlib import import_module

import click

from laureldock import __version__

# Each is imported when it is asked for: `serve` stays small.
COMMANDS = ("serve", "controller", "config", "info", "spool", "fleet", "rehearse", "version")


class Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        command: click.Command = import_module(f"laureldock.cli.{name}").command
        return command


@click.command(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="laureldock")
def main() -> None:
    """Dispatches notifications ("mails") to outside receivers, and keeps its decisions good while they fail.

    \b
    Begin with:  laureldock config example > laureldock.toml
                 laureldock config check laureldock.toml
                 laureldock serve laureldock.toml

    Exit codes: 0 done, 1 it ended on a fault, 2 wrong use or a refused configuration.
    """
