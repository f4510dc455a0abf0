"""How conftest.py treats known failing tests, which `KNOWN-RED.txt` lists."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
    pytester.makeini("[pytest]\ntestpaths = tests")
    folder = pytester.mkdir("tests")
    (folder / "test_it.py").write_text(
        "def test_red():\n    assert 1 == 2\ndef test_green():\n    assert True\n"
        "def test_other():\n    assert True\n"
    )
    return pytester


def run_with_list(project: pytest.Pytester, *lines: str) -> pytest.RunResult:
    (project.path / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
    return project.runpytest_subprocess("-p", "no:cacheprovider")


def test_a_failing_test_fails_the_run_unless_it_is_listed(project: pytest.Pytester) -> None:
    assert project.runpytest_subprocess("-p", "no:cacheprovider").ret == pytest.ExitCode.TESTS_FAILED
    result = run_with_list(project, "tests/test_it.py::test_red | sums are off | issue 1")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red: tests/test_it.py::test_red (sums are off, issue 1): failed"])


def test_a_listed_test_that_passes_is_reported(project: pytest.Pytester) -> None:
    red = "tests/test_it.py::test_red | sums are off | issue 1"
    result = run_with_list(project, red, "tests/test_it.py::test_green | none | issue 2")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["known red: *test_green (none, issue 2): PASSED: it comes off the list"])


def test_a_failing_test_that_is_not_listed_fails_the_run(project: pytest.Pytester) -> None:
    assert (
        run_with_list(project, "tests/test_it.py::test_green | x | issue 1").ret
        == pytest.ExitCode.TESTS_FAILED
    )


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
def test_an_invalid_list_fails_the_run(project: pytest.Pytester, lines: list[str]) -> None:
    result = run_with_list(project, *lines)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt: *"])
