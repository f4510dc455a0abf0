"""A file of changes: what is read of it, and every fault with its line."""

from __future__ import annotations

from pathlib import Path

import pytest

from laureldock.setup.change_file import read_changes
from laureldock.setup.changes import EntryKey, EntryKind
from laureldock.setup.faults import Fault, RefusedError

GOOD = """\
remove = ["endpoint.127.0.0.1:9001", "terms.class=news,destination=north", "destination.7"]

[[endpoint]]
name = "bank-1"
destination = "north"
address = "127.0.0.1:9002"

[[endpoint]]
destination = "north"
address = "127.0.0.1:9003"

[destination.north]
kind = "shop"
[customer.anna]
quota = 5.0
[class.news]
time_out = "2s"
[[terms]]
class = ["news", "charge"]
route = "bank-1"
window = 3
"""


def written(folder: Path, text: str) -> str:
    path = folder / "changes.toml"
    path.write_text(text)
    return str(path)


def refused(folder: Path, text: str) -> list[str]:
    with pytest.raises(RefusedError) as told:
        read_changes(written(folder, text))
    return [str(fault).removeprefix(str(folder) + "/") for fault in told.value.faults]


def test_each_table_is_an_entry_and_removals_are_keys(tmp_path: Path) -> None:
    found = read_changes(written(tmp_path, GOOD))
    assert {str(entry.key) for entry in found.change.puts} == {
        "endpoint.bank-1",
        "endpoint.127.0.0.1:9003",
        "destination.north",
        "customer.anna",
        "class.news",
        "terms.class=news+charge,route=bank-1",
    }
    assert found.change.removals == (
        EntryKey(EntryKind.ENDPOINT, "127.0.0.1:9001"),
        EntryKey(EntryKind.TERMS, "class=news,destination=north"),
        EntryKey(EntryKind.DESTINATION, "7"),
    )


def test_faults_of_entries_are_placed_in_the_file(tmp_path: Path) -> None:
    found = read_changes(written(tmp_path, GOOD))
    terms = "class=news+charge,route=bank-1"
    faults = [
        Fault(("endpoint", "127.0.0.1:9003", "address"), "listed twice", "", ("endpoint", "bank-1")),
        Fault(("endpoint", "bank-1", "zone"), "not there, so of its table"),
        Fault(("terms", terms, "window"), "too wide"),
        Fault(("destination", "7"), "cannot be removed"),
        Fault(("class", "news", "time_out"), "too long"),
        Fault(("terms", "elsewhere", "route"), "names what is removed", "", ("endpoint", "127.0.0.1:9001")),
        Fault((), "version 3 is the newest"),
    ]
    lines = {fault.fault.reason: (fault.line, fault.also_line) for fault in found.placed(faults)}
    assert lines == {
        "listed twice": (10, 3),
        "not there, so of its table": (3, 0),
        "too wide": (21, 0),
        "cannot be removed": (1, 0),
        "too long": (17, 0),
        "names what is removed": (0, 1),
        "version 3 is the newest": (0, 0),
    }
    assert str(found.placed(faults)[-1]).endswith(
        "changes.toml:21: terms.class=news+charge,route=bank-1.window: too wide"
    )


def test_what_is_malformed_is_refused_with_all_its_lines(tmp_path: Path) -> None:
    text = """\
remove = ["endpoint.a", "bank-1", "kind.shop", "customer.", "endpoint.b"]
[[endpoint]]
name = "a"
destination = "north"
address = "127.0.0.1:9002"
[[endpoint]]
name = "a"
destination = "north"
address = "127.0.0.1:9003"
"""
    assert refused(tmp_path, text) == [
        "changes.toml:1: remove[0]: endpoint.a stands twice in the file (endpoint[0], line 2);"
        " allowed: once, put or removed",
        *(
            f"changes.toml:1: remove[{place}]: names no entry: '{key}'; allowed: endpoint.NAME,"
            " destination.NAME, terms.NAME, customer.NAME, class.NAME"
            for place, key in ((1, "bank-1"), (2, "kind.shop"), (3, "customer."))
        ),
        "changes.toml:6: endpoint[1]: endpoint.a stands twice in the file (endpoint[0], line 2);"
        " allowed: once, put or removed",
    ]
    faults = refused(tmp_path, '[[endpoint]]\nname = "a"\nadress = "x"\n[limits]\nslots = 3\n')
    assert [fault.partition(": ")[0] for fault in faults] == ["changes.toml:1"] * 2 + [
        "changes.toml:3", "changes.toml:4",
    ]  # fmt: skip
    assert "'address' is meant?" in faults[2] and "limits: unknown setting" in faults[3]
    assert "lifetime: unknown setting" in refused(tmp_path, '[class.news]\nlifetime = "3s"\n')[0]
    assert refused(tmp_path, "remove = 3\n") == [
        "changes.toml:1: remove: expected `array`, got `int` (it is 3); allowed: array"
    ]
    assert "not TOML" in refused(tmp_path, "[[endpoint\n")[0]
    with pytest.raises(RefusedError, match="cannot be read"):
        read_changes(str(tmp_path / "absent.toml"))
