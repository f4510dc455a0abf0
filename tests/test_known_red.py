"""What the test set-up does with tests that are known to be red."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]


@pytest.fixture
def run(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
    pytester.makeini("[pytest]\ntestpaths = tests")
    folder = pytester.mkdir("tests")
    (folder / "test_it.py").write_text(
        "def test_red():\n    assert 1 == 2\ndef test_green():\n    assert True\n"
        "def test_other():\n    assert True\n"
    )
    return pytester


def listed(run: pytest.Pytester, *lines: str) -> pytest.RunResult:
    (run.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    return run.runpytest_subprocess("-p", "no:cacheprovider")


def test_a_red_test_fails_the_run_unless_it_is_listed(run: pytest.Pytester) -> None:
    assert run.runpytest_subprocess("-p", "no:cacheprovider").ret == pytest.ExitCode.TESTS_FAILED
    result = listed(run, "tests/test_it.py::test_red | sums are off | issue 1")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red: tests/test_it.py::test_red (sums are off, issue 1): failed"])


def test_one_that_passes_is_said_to_come_off_the_list(run: pytest.Pytester) -> None:
    red = "tests/test_it.py::test_red | sums are off | issue 1"
    result = listed(run, red, "tests/test_it.py::test_green | none | issue 2")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red: *test_green (none, issue 2): PASSED: it comes off the list"])


def test_one_that_is_not_listed_fails_beside_one_that_is(run: pytest.Pytester) -> None:
    assert listed(run, "tests/test_it.py::test_green | x | issue 1").ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "lines",
    [
        ["tests/test_it.py::test_red | a | issue 1", "tests/test_it.py::test_gone | a | issue 1"],
        [f"tests/test_it.py::test_{name} | a | issue 1" for name in ("red", "green", "other", "red2")],
        ["tests/test_it.py::test_red"],
        ["tests/test_it.py::test_red | a | "],
    ],
    ids=["no such test", "a fourth", "no cause", "no issue"],
)
def test_a_list_that_is_not_allowed_fails_the_run(run: pytest.Pytester, lines: list[str]) -> None:
    result = listed(run, *lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt: *"])
