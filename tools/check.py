"""Runs the formatter, linter, type checker and tests, and counts the results.

The last line of output is `N passed, N failed, N skipped`. Tests listed in
KNOWN-RED.txt are run too; a failure of one is printed and counts as skipped.
Each tool counts as one result, like a test; --no-tools runs only the tests.
"""

import argparse
import importlib.util
import logging
import pathlib
import subprocess
import sys
import time
import unittest
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
SOURCES = ("packages", "platform", "tools", "examples")
SLOW_TEST_S = 5.0


class Counts(NamedTuple):
    """Numbers of tools and tests that passed, failed or were skipped."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0


def read_known_failures() -> set[str]:
    """Returns the ids of tests listed as failing because of a known fault.

    A line of the file is "id | ...", a comment that starts with "#", or empty.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def run_tool(name: str, *args: str) -> bool:
    """Runs a Python tool as a module and prints its output if it fails.

    Args:
        name (str): Module of the tool.
        *args (str): Its arguments.

    Returns:
        bool: Whether the tool exited with 0.
    """
    command = [sys.executable, "-m", name, *args]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    label = f"{name} {args[0]}" if name == "ruff" else name
    print(f"{label}: {'ok' if result.returncode == 0 else 'FAILED'}")
    if result.returncode:
        print(result.stdout + result.stderr)
    return result.returncode == 0


def run_tools() -> Counts:
    """Runs the formatter, the linter and the type checker."""
    packages = [
        str(path)
        for path in sorted(ROOT.glob("packages/*/chervilwall*"))
        if path.is_dir() and not path.name.endswith("egg-info")
    ]
    # platform/ is not a package, since it would shadow the standard library's
    # `platform` module; mypy is therefore given its files one by one.
    platform_files = [str(path) for path in sorted(ROOT.glob("platform/*.py"))]
    results = [
        run_tool("ruff", "format", "--check", *SOURCES),
        run_tool("ruff", "check", *SOURCES),
        run_tool("mypy", *packages, *platform_files),
    ]
    return Counts(sum(results), results.count(False))


def load_tests(pattern: str) -> unittest.TestSuite:
    """Loads the tests of all packages.

    Args:
        pattern (str): Text that the id of a test must contain; "" for all.
    """
    suite = unittest.TestSuite()
    for path in sorted(ROOT.glob("packages/*/tests/test_*.py")):
        name = f"{path.parent.parent.name}.{path.stem}"
        spec = importlib.util.spec_from_file_location(name, path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
        suite.addTests(unittest.defaultTestLoader.loadTestsFromModule(module))
    if not pattern:
        return suite
    return unittest.TestSuite(t for t in _flatten(suite) if pattern in t.id())


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    found: list[unittest.TestCase] = []
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            found += _flatten(test)
        else:
            found.append(test)
    return found


class _FailureCollectingResult(unittest.TextTestResult):
    """Collect the ids of failed tests and report slow ones.

    Attributes:
        failed_ids (set): Ids of failed tests, filled by record_failed_ids().
    """

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.failed_ids: set[str] = set()
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Records when a test starts."""
        super().startTest(test)
        self._started = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints a test that took longer than SLOW_TEST_S."""
        super().stopTest(test)
        duration_s = time.monotonic() - self._started
        if duration_s > SLOW_TEST_S:
            self.stream.writeln(f"{test.id()} took {duration_s:.1f} s")

    def record_failed_ids(self) -> None:
        """Collects the ids of failed tests; a subtest counts as its test."""
        for test, _ in self.failures + self.errors:
            case = getattr(test, "test_case", test)
            self.failed_ids.add(case.id())
        self.failed_ids |= {t.id() for t in self.unexpectedSuccesses}


def run_tests(pattern: str) -> Counts:
    """Runs the tests whose id contains a pattern; prints known failures.

    A known failure is one of a test that KNOWN-RED.txt lists.
    """
    logging.disable(logging.CRITICAL)
    tests = load_tests(pattern)
    runner = unittest.TextTestRunner(
        stream=sys.stdout, resultclass=_FailureCollectingResult
    )
    result = runner.run(tests)
    assert isinstance(result, _FailureCollectingResult)
    result.record_failed_ids()
    known_failures = result.failed_ids & read_known_failures()
    for name in sorted(known_failures):
        print(f"known red: {name}")
    failed = len(result.failed_ids - known_failures)
    skipped = len(result.skipped) + len(known_failures)
    return Counts(result.testsRun - failed - skipped, failed, skipped)


def main() -> int:
    """Runs all checks and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("pattern", nargs="?", default="")
    parser.add_argument("--no-tools", action="store_true")
    args = parser.parse_args()
    tools = Counts() if args.no_tools else run_tools()
    tests = run_tests(args.pattern)
    total = Counts(*(a + b for a, b in zip(tools, tests, strict=True)))
    print(
        f"{total.passed} passed, {total.failed} failed, {total.skipped} skipped"
    )
    return 1 if total.failed or not total.passed else 0


if __name__ == "__main__":
    sys.exit(main())
