"""A dispatcher with a configuration file: independent clients, and reloads under load."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
import redis
from daemon import HEAD, Daemon, daemon
from drivers import InMemoryDispatcher
from redis._parsers import _HiredisParser, _RESP2Parser

from laureldock.core.messages import StoredMessage
from laureldock.stores.spool import Spool

NAMES = {"n1": "north", "n2": "north", "s1": "south"}


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def call_counts(here: Daemon) -> Counter[str]:
    return Counter(call.message for call in here.record.calls)


def logged(here: Daemon, event: str) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in (here.folder / "log").read_text().splitlines()]
    return [line for line in lines if line["event"] == event]


def test_a_reload_under_load_loses_and_repeats_no_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES, call_time=0.15) as here:
            names = [f"m{number}" for number in range(1000)]
            destinations = ("north", "south")
            submissions = (
                here.submit(name, destination=destinations[number % 2]) for number, name in enumerate(names)
            )
            assert set(await asyncio.gather(*submissions)) == {b"OK"}
            while (now := await here.counters())["out"] < 60:
                await asyncio.sleep(0.02)
            assert now["held"] > 300
            here.write_configuration(
                '[[terms]]\nclass = "news"\nconnects = 2\ntime_out = "20s"\n', without="n2"
            )
            here.reload()
            await here.wait_for_counter("configurations_read", 1)
            drained = time.time()
            await here.wait_for_counter("held", 0)
            assert call_counts(here) == Counter(names)
            late_calls = [
                call
                for call in here.record.calls
                if call.receiver == "n2" and call.first_byte_at > drained + 0.5
            ]
            assert not late_calls, [call.first_byte_at - drained for call in late_calls]
            assert any(call.receiver == "n2" for call in here.record.calls)
            assert not (tmp_path / "state" / "undelivered.jsonl").exists()

    run(scenario())


def test_an_endpoint_that_a_reload_moves_serves_its_new_destination_only(tmp_path: Path) -> None:
    """Its route stayed with the old destination, and would have been sent messages for that one."""

    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as here:
            here.receivers["n1"].destination = "south"
            here.write_configuration()
            here.reload()
            await here.wait_for_counter("configurations_read", 1)
            for number in range(40):
                assert await here.submit(f"m{number}", destination=("north", "south")[number % 2]) == b"OK"
            await here.wait_for_counter("held", 0)
            parities = {name: Counter(int(c.message[1:]) % 2 for c in here.record.calls if c.receiver == name)
                    for name in NAMES}  # fmt: skip
            assert set(parities["n1"]) == {1} and parities["n2"] == {0: 20} and parities["s1"][0] == 0

    run(scenario())


def test_an_invalid_file_is_refused_and_the_old_configuration_stays(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as here:
            good = here.file.read_text()
            bad = [good[: len(good) // 2], "", "\0", good.replace('"30s"', '"40s"'), good + "[limit]\n"]
            for count, text in enumerate([*bad, None], 1):
                here.file.unlink()
                if text is None:
                    here.file.mkdir()
                else:
                    here.file.write_text(text)
                here.reload()
                await here.wait_for_counter("configurations_refused", count)
                assert await here.submit(f"m{count}") == b"OK"
            here.file.rmdir()
            here.reload()  # there is no file
            await here.wait_for_counter("configurations_refused", 7)
            await here.wait_for_counter("relayed", 6)
            reasons = [line["faults"] for line in logged(here, "configuration not read, the old one stays")]
            assert "class.charge.lifetime cannot change while it runs" in reasons[3]
            assert "cannot be read: Is a directory" in reasons[5][0] and all(reasons)

    run(scenario())


def test_ten_reloads_a_second_under_load_lose_and_repeat_no_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES, call_time=0.05) as here:
            names = [f"m{number}" for number in range(300)]

            async def reload_repeatedly() -> None:
                for number in range(30):
                    here.write_configuration(
                        f"[destination.north]\nwindow = {number + 1}\n", without="n1" if number % 2 else ""
                    )
                    here.reload()
                    await asyncio.sleep(0.1)

            reloading = asyncio.create_task(reload_repeatedly())
            for name in names:
                assert await here.submit(name, "charge" if name.endswith("3") else "news") == b"OK"
                await asyncio.sleep(0.008)
            await reloading
            await here.wait_for_counter("held", 0)
            assert call_counts(here) == Counter(names)
            assert (await here.counters())["configurations_read"] >= 20

    run(scenario())


@pytest.mark.parametrize("parser", [_RESP2Parser, _HiredisParser])
def test_redis_clients_work(tmp_path: Path, parser: Any) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as here:
            await asyncio.to_thread(use_redis_client, here.port, parser)
            await here.wait_for_counter("relayed", 130)
            assert all(count == 1 for count in call_counts(here).values()) and len(call_counts(here)) == 130

    run(scenario())


def use_redis_client(port: int, parser: Any) -> None:
    """Use a client as programs do: with a pool, a pipeline, and database commands, which are refused."""
    pool = redis.ConnectionPool(
        port=port, protocol=2, parser_class=parser, client_name="till", max_connections=4
    )
    with redis.Redis(connection_pool=pool) as client:
        assert client.ping() and client.echo("x") == b"x" and client.client_getname() == "till"
        assert client.client_id() > 0 and client.info()["held"] == 0 and client.command_count() == 8
        assert client.execute_command("HELLO", "2")[:2] == [b"server", b"laureldock"]
        for words, error in (
            (("SET", "a", "b"), "unknown command 'SET'"),
            (("HELLO", "3"), "NOPROTO"),
            (("PING", "a", "b"), "wrong number of arguments"),
            (("MSG.PUT", "0", "x", "c=nope,d=1,dest=north", ""), "unknown class"),
            (("MSG.PUT", "0", "x", "c=news,d=1,dest=east", ""), "unknown destination"),
            (("CLIENT", "KILL", "x"), "client\\|KILL"),
        ):
            with pytest.raises(redis.ResponseError, match=error):
                client.execute_command(*words)
        for number in range(30):
            assert (
                client.execute_command("MSG.PUT", "0", f"a{number}", "c=news,d=9000,dest=north", "x") == b"OK"
            )
        pipeline = client.pipeline(transaction=False)
        for number in range(100):
            pipeline.execute_command("MSG.PUT", "0", f"b{number}", "c=news,d=9000,dest=south", "x")
        assert pipeline.execute() == [b"OK"] * 100
        assert pool._created_connections == 1 if hasattr(pool, "_created_connections") else True
    with pytest.raises(redis.RedisError, match="NOPROTO"):
        redis.Redis(port=port, protocol=3).ping()


def test_a_client_with_repeated_errors_is_disconnected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as here:
            reader, writer = await asyncio.open_connection("127.0.0.1", here.port)
            writer.write(InMemoryDispatcher.command("SNEEZE") * 200)
            replies = (await asyncio.wait_for(reader.read(), 5)).split(b"\r\n")
            assert replies[-2] == b"-ERR too many errors" and len(replies) == 18
            assert len(logged(here, "malformed request")) <= 20
            writer.close()

    run(scenario())


def test_a_port_in_use_is_an_error_and_an_existing_spool_is_read(tmp_path: Path) -> None:
    """A spool of the present format is read wherever the program was started."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as occupied:
            port = occupied.getsockname()[1]
            file = tmp_path / "taken.toml"
            file.write_text(HEAD.format(port=port) + '[[endpoint]]\ndestination = "north"\naddress = "h:1"\n')
            command = [
                sys.executable,
                "-m",
                "laureldock",
                "serve",
                str(file),
                "--state",
                str(tmp_path / "other"),
            ]
            result = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
        assert result.returncode == 1 and result.stderr.startswith("Error: cannot listen")
        assert "Traceback" not in result.stderr
        (tmp_path / "state").mkdir()
        spool = Spool(tmp_path / "state", 1e6)
        spool.open()
        spool.accept(StoredMessage(b"old", None, "news", "", b"", "north", time.monotonic() + 20, b"hello"))
        spool.close()
        async with daemon(tmp_path, NAMES) as here:
            await here.wait_for_counter("relayed", 1)
            assert call_counts(here) == Counter(["old"])

    run(scenario())
