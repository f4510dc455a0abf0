"""Tests that are red for a real fault: `KNOWN-RED.txt` at the root has a line each of test, cause and issue.

They run and may fail; each is printed with its outcome. More than three lines, or a test that is not there,
fail the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3
KNOWN = pytest.StashKey[dict[str, str]]()


def known_red(path: Path) -> dict[str, str]:
    """Of each test, by its id, the cause and the issue. ValueError for what the page does not allow."""
    lines = path.read_text().splitlines() if path.exists() else []
    found = {}
    for line in (line for line in lines if line.strip()):
        test, *rest = (part.strip() for part in line.split(" | "))
        if len(rest) != 2 or not all((test, *rest)):
            raise ValueError(f"not a line of test | cause | issue: {line}")
        found[test] = ", ".join(rest)
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, {MOST} at most")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        known = config.stash[KNOWN] = known_red(config.rootpath / "KNOWN-RED.txt")
    except ValueError as fault:
        raise pytest.UsageError(f"KNOWN-RED.txt: {fault}") from None
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
    there = {item.nodeid for item in items}
    whole = not config.option.keyword and config.args == config.getini("testpaths")
    if whole and (gone := [test for test in known if test not in there]):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(gone)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for kind, word in (("xfailed", "failed"), ("xpassed", "PASSED: it comes off the list")):
        for report in terminalreporter.getreports(kind):
            if report.nodeid in config.stash.get(KNOWN, {}):
                cause = config.stash[KNOWN][report.nodeid]
                terminalreporter.write_line(f"known red: {report.nodeid} ({cause}): {word}")
