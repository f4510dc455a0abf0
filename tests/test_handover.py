"""Two processes of one dispatcher share a folder while one hands over to the next."""

from __future__ import annotations

from pathlib import Path

from laureldock.core.letters import Owed
from laureldock.stores.spool import Spool


def mail(name: bytes, key: str | None = None) -> Owed:
    return Owed(name, key, "news", "", b"", 7, 1e12, b"body")


def test_the_next_process_writes_its_own_file_and_takes_over_what_the_last_one_leaves(tmp_path: Path) -> None:
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.take(mail(b"a", "k1")) and old.take(mail(b"b", "k2")) and old.take(mail(b"c"))
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.sharing and new.path.name == "spool.1" and not new.owed
    assert new.take(mail(b"d", "k1"))
    assert sorted(new.keys_elsewhere()) == ["k1", "k2"]
    assert old.keys_elsewhere() == ["k1"]  # the old one sees the new file too
    old.over(b"b")
    assert new.keys_elsewhere() == ["k1"] and new.adopt() == []  # still alive: nothing is taken

    old.close()  # its process ends, and with it the lock
    assert sorted(owed.name for owed in new.adopt()) == [b"a", b"c"]
    assert not new.sharing and new.path.name == "spool" and new.keys_elsewhere() == []
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool"]
    new.close()
    assert sorted(Spool(tmp_path, 3e6, writes=False).owed) == [b"a", b"c", b"d"]


def test_a_file_left_by_a_process_that_died_is_taken_over_at_the_start(tmp_path: Path) -> None:
    old, new = Spool(tmp_path, 3e6), None
    old.open()
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.take(mail(b"n"))
    old.take(mail(b"o"))
    new.close()
    old.close()  # both gone: the next start owes what each had
    again = Spool(tmp_path, 3e6)
    again.open()
    assert sorted(again.owed) == [b"n", b"o"] and not again.sharing
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool"]
