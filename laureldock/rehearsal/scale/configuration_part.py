"""Configuration of a hollow member: the `ControllerStream` and `Catalog` of a dispatcher.

Nothing is stored on disk or passed to a dispatcher core: a hollow member has none.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from functools import cache
from typing import cast

import msgspec
from twisted.internet.posixbase import PosixReactorBase

from laureldock.rehearsal.scale.shaping import MemberReactor
from laureldock.replication.catalog_sink import CatalogSink
from laureldock.setup.plan import Plan
from laureldock.setup.units import decode
from laureldock.sources.controlled import ControllerStream

# Part of the configuration files of dispatchers and controller: the classes that entries refer to.
BASE_CLASSES = """\
[class.notice]
effect = "redeliverable"
target_delay = "1s"
lifetime = "8s"
"""


@cache
def base_plan() -> Plan:
    return msgspec.convert(tomllib.loads(BASE_CLASSES), Plan, dec_hook=decode)


class HollowConfiguration:
    """Follows the controller from one start of a member, beginning without any configuration."""

    def __init__(
        self,
        reactor: MemberReactor,
        controllers: list[str],
        random_seed: int,
        on_applied: Callable[[int], None],
    ) -> None:
        """`on_applied` is called with the version that has come into force."""
        self.sink = CatalogSink(base_plan())
        self.stream = ControllerStream(
            cast(PosixReactorBase, reactor),
            controllers,
            reactor.location.name,
            random_seed,
            self.sink,
            on_applied=lambda: on_applied(self.version),
        )

    def start(self) -> None:
        """Connect to the controller; retries until it succeeds."""
        self.stream.start()

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none yet."""
        return self.stream.subscriber.position.version

    @property
    def digest(self) -> int:
        """Digest of all entries in force."""
        return self.sink.digest
