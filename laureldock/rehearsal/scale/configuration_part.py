"""How a hollow member follows the configuration: `ControllerStream` and a `Catalog` as a dispatcher has them.

Nothing is kept on disk, and nothing is told to a core: a hollow member has none.
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

# The part of a dispatcher's file, and of the controller's, to which entries refer.
BASE_CLASSES = """\
[class.notice]
effect = "redeliverable"
target_delay = "1s"
lifetime = "8s"
"""


@cache
def base_plan() -> Plan:
    return msgspec.convert(tomllib.loads(BASE_CLASSES), Plan, dec_hook=decode)


class ConfigurationPart:
    """One start of a member's following of the configuration, from nothing."""

    def __init__(
        self,
        reactor: MemberReactor,
        controllers: list[str],
        random_seed: int,
        on_applied: Callable[[int], None],
    ) -> None:
        """`on_applied` is told the version that is in force."""
        self.sink = CatalogSink(base_plan())
        self.stream = ControllerStream(
            cast(PosixReactorBase, reactor),
            controllers,
            reactor.place.name,
            random_seed,
            self.sink,
            on_applied=lambda: on_applied(self.version),
        )

    def start(self) -> None:
        """Connect to the controller, and go on trying."""
        self.stream.start()

    @property
    def version(self) -> int:
        """In force; 0: none yet."""
        return self.stream.subscriber.position.version

    @property
    def digest(self) -> int:
        """Of all entries in force."""
        return self.sink.digest
