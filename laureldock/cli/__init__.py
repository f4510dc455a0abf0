"""The command line; each sub-command is a module."""

from __future__ import annotations

from importlib import import_module

import click

from laureldock import __version__

# Each command is imported on use, which keeps the memory of `serve` small.
COMMANDS = ("serve", "controller", "config", "info", "spool", "fleet", "rehearse", "version")


class LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        command: click.Command = import_module(f"laureldock.cli.{name}").command
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="laureldock")
def main() -> None:
    """Dispatch notifications ("messages") to external receivers, and keep delivery reliable while they fail.

    \b
    Start with:  laureldock config example > laureldock.toml
                 laureldock config check laureldock.toml
                 laureldock serve laureldock.toml

    Exit codes: 0 success, 1 failure, 2 wrong usage or a refused configuration.
    """
