"""Configuration files of the members of a rehearsed fleet."""

from __future__ import annotations

from collections.abc import Iterable

from laureldock.rehearsal.stub_receivers import StubReceiver

FLEET_PORT, FRONT_PORT, OPERATORS_PORT = 7946, 6390, 9100
LIFETIME = 8.0  # seconds, of each message

DISPATCHER = """\
name = "{name}"
seed = {seed}
state = "state"
management = "{host}:{operators_port}"
[limits]
sockets = 256
slots = 32
[[front]]
listen = "{host}:{front_port}"
[outlet]
kind = "lines"
path = "undelivered.jsonl"
[class.notice]
effect = "redeliverable"
target_delay = "1s"
lifetime = "8s"
[class.order]
effect = "tagged"
memory = "10s"
in_order = true
target_delay = "1s"
lifetime = "8s"
[class.payment]
effect = "once-only"
target_delay = "1s"
lifetime = "8s"
"""
FLEET = """\
[fleet]
name = "rehearsal"
listen = "{host}:{port}"
advertise = "{relay}:{port}"
seeds = [{seeds}]
site = "{site}"
period = "{period}ms"
"""
ENDPOINT = """\
[[endpoint]]
name = "{name}"
destination = "{destination}"
rate = {rate}
address = "{address}"
"""


def dispatcher_table(name: str, seed: int, host: str) -> str:
    """Return the configuration of a dispatcher, without its fleet and its receivers."""
    return DISPATCHER.format(
        name=name, seed=seed, host=host, operators_port=OPERATORS_PORT, front_port=FRONT_PORT
    )


def fleet_table(host: str, relay: str, seeds: Iterable[str], site: str, period: float) -> str:
    """Return the table `[fleet]`; `seeds` are hosts of relays, `period` is in seconds."""
    addresses = ", ".join(f'"{seed}:{FLEET_PORT}"' for seed in seeds)
    return FLEET.format(
        host=host, port=FLEET_PORT, relay=relay, seeds=addresses, site=site, period=round(period * 1000)
    )


def endpoint_table(name: str, receiver: StubReceiver, host: str) -> str:
    """Return one `[[endpoint]]`: a receiver that is reached by way of `host`."""
    address = f"{host}:{receiver.port}"
    return ENDPOINT.format(name=name, destination=receiver.destination, rate=receiver.rate, address=address)
