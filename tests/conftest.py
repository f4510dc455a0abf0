"""Known failing tests: each line of `KNOWN-RED.txt` in the root has a test id, the cause and the issue.

These tests run and may fail; the summary states the outcome of each. More than three lines, or a line whose
test does not exist, fail the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_FAILURES = 3
KNOWN_FAILURES = pytest.StashKey[dict[str, str]]()


def read_known_failures(path: Path) -> dict[str, str]:
    """Cause and issue by test id. Raises ValueError for a malformed line or too many of them."""
    lines = path.read_text().splitlines() if path.exists() else []
    known = {}
    for line in (line for line in lines if line.strip()):
        test, *rest = (part.strip() for part in line.split(" | "))
        if len(rest) != 2 or not all((test, *rest)):
            raise ValueError(f"not a line of test | cause | issue: {line}")
        known[test] = ", ".join(rest)
    if len(lines) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{len(lines)} lines, {MAX_KNOWN_FAILURES} at most")
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        known = config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath / "KNOWN-RED.txt")
    except ValueError as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from None
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
    collected = {item.nodeid for item in items}
    all_collected = not config.option.keyword and config.args == config.getini("testpaths")
    if all_collected and (missing := [test for test in known if test not in collected]):
        raise pytest.UsageError(f"KNOWN-RED.txt: no such test: {', '.join(missing)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for outcome, text in (("xfailed", "failed"), ("xpassed", "PASSED: it comes off the list")):
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in config.stash.get(KNOWN_FAILURES, {}):
                cause = config.stash[KNOWN_FAILURES][report.nodeid]
                terminalreporter.write_line(f"known red: {report.nodeid} ({cause}): {text}")
                if outcome == "xfailed":  # its history, so that it can be traced
                    terminalreporter.write_line(report.longreprtext)
                    terminalreporter.write_line(report.capstdout)
