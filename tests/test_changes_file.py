"""CHANGES.toml: it is read into a change, or refused with the lines of its faults."""

from __future__ import annotations

from pathlib import Path

import pytest
from test_catalog import BASE, destination, endpoint, put, terms

from laureldock.setup.catalog import Catalog, RefusedChangeError
from laureldock.setup.changes import EntryKey, EntryKind
from laureldock.setup.changes_file import locate_change_faults, read_changes
from laureldock.setup.faults import Fault, RefusedError
from laureldock.setup.units import Seconds

GOOD = """\
remove = ["endpoint.old", "terms.class=news,route=x.y"]
[[endpoint]]
name = "n1"
destination = "north"
address = "127.0.0.1:9001"
time_out = "2s"
[destination.north]
kind = "shop"
[[terms]]
class = "news"
destination = "north"
connects = 2
[customer.acme]
quota = 5.0
[class.charge]
connects = 3
"""


def written(folder: Path, text: str) -> str:
    path = folder / "changes.toml"
    path.write_text(text)
    return str(path)


def refusal(folder: Path, text: str) -> list[str]:
    with pytest.raises(RefusedError) as refused:
        read_changes(written(folder, text))
    return [str(fault).partition("changes.toml:")[2] for fault in refused.value.faults]


def test_a_file_is_read_into_puts_and_removals(tmp_path: Path) -> None:
    change, _ = read_changes(written(tmp_path, GOOD))
    assert [str(entry.key) for entry in change.puts] == [
        "endpoint.n1",
        "destination.north",
        "terms.class=news,destination=north",
        "customer.acme",
        "class.charge",
    ]
    assert change.puts[0] == endpoint("n1", "north", time_out=Seconds(2))
    assert change.removals == (
        EntryKey(EntryKind.ENDPOINT, "old"),
        EntryKey(EntryKind.TERMS, "class=news,route=x.y"),
    )
    assert Catalog(BASE).apply(change, missing_ok=True)


def test_all_faults_of_form_are_reported_with_their_lines(tmp_path: Path) -> None:
    text = GOOD.replace('"2s"', "2").replace("quota = 5.0", "quotas = 5.0").replace("endpoint.old", "olds")
    found = refusal(tmp_path, text + "[limits]\nslots = 3\n")
    assert [line.partition(":")[0] for line in found] == ["1", "6", "14", "17"]
    assert "remove:" in found[0] and "'quota' is meant?" in found[2] and "limits" in found[3]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (GOOD.replace("endpoint.old", "endpoint.n1"), "1: remove[0]: endpoint.n1 is put and removed"),
        ('remove = ["class.a",\n"class.a"]', "2: remove[1]: class.a is removed twice"),
        (GOOD + "[[terms]]\nclass='news'\ndestination='north'\ncopies=1\n", "17: terms[1]: terms.class=news"),
        ("", "1: changes nothing"),
        ("[[endpoint]", "1: not TOML"),
    ],
)
def test_contradictory_or_empty_changes_are_refused_before_sending(
    tmp_path: Path, text: str, expected: str
) -> None:
    found = refusal(tmp_path, text)
    assert len(found) == 1 and found[0].startswith(expected), found


def test_faults_of_a_refused_change_have_their_lines(tmp_path: Path) -> None:
    catalog = Catalog(BASE)
    catalog.apply(put(endpoint("old", "west"), endpoint("x", "east"), terms(destination="west", connects=2)))
    catalog.apply(
        put(endpoint("y", "south"), destination("south", "office"), terms(kind="office", connects=3))
    )
    text = GOOD.replace('kind = "shop"', 'kind = "shpo"').replace(', "terms.class=news,route=x.y"', "")
    change, where = read_changes(
        written(tmp_path, text + '[destination.south]\nkind = "shop"\nwindow = 50\n')
    )
    with pytest.raises(RefusedChangeError) as refused:
        catalog.apply(change)
    found = locate_change_faults(refused.value.faults, where)
    assert [(each.line, ".".join(map(str, each.fault.path))) for each in found] == [
        (1, "terms.destination=west.destination"),
        (8, "destination.north.kind"),
        (19, "destination.south.window"),
    ]
    assert str(found[0]).endswith("(endpoint.old, line 1); allowed: east, north, south")


def test_faults_of_entries_have_the_lines_of_their_settings(tmp_path: Path) -> None:
    _, places = read_changes(written(tmp_path, GOOD))
    faults = [
        Fault(("endpoint", "n1", "address"), "listed twice", "", ("endpoint", "elsewhere")),
        Fault(("endpoint", "n1", "zone"), "not there, so of its table"),
        Fault(("terms", "class=news,destination=north", "connects"), "too many"),
        Fault(("endpoint", "old"), "cannot be removed"),
        Fault(("class", "charge", "connects"), "too many of them"),
        Fault(("terms", "elsewhere", "route"), "names what is removed", "", ("endpoint", "old")),
        Fault((), "version 3 is the newest"),
    ]
    found = locate_change_faults(faults, places)
    assert {each.fault.reason: (each.line, each.also_line) for each in found} == {
        "listed twice": (5, 0),
        "not there, so of its table": (2, 0),
        "too many": (12, 0),
        "cannot be removed": (1, 0),
        "too many of them": (16, 0),
        "names what is removed": (1, 1),
        "version 3 is the newest": (0, 0),
    }
    assert str(found[-1]).endswith("changes.toml:16: class.charge.connects: too many of them")
