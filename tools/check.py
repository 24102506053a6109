"""Runs formatter, linter, type checker and all tests, and counts them.

The last line printed is `N passed, N failed, N skipped`. Tests listed in
KNOWN-RED.txt are run and printed; their failures count as skipped.
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
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SOURCES = ("packages", "platform", "tools", "examples")
SLOW_TEST_S = 5.0


class Counts(NamedTuple):
    """Counts of checks and tests."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0


def known_red() -> set[str]:
    """Returns the ids of tests that fail for a known fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def run_tool(name: str, *args: str) -> bool:
    """Runs a tool over the sources; returns whether it found nothing."""
    command = [sys.executable, "-m", name, *args]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    what = f"{name} {args[0]}" if name == "ruff" else name
    print(f"{what}: {'ok' if done.returncode == 0 else 'FAILED'}")
    if done.returncode:
        print(done.stdout + done.stderr)
    return done.returncode == 0


def run_tools() -> Counts:
    """Runs formatter, linter and type checker."""
    packages = [
        str(path)
        for path in sorted(ROOT.glob("packages/*/chervilwall*"))
        if path.is_dir() and not path.name.endswith("egg-info")
    ]
    # The folder is no package, so that it never hides the library's module.
    adapter = [str(path) for path in sorted(ROOT.glob("platform/*.py"))]
    results = [
        run_tool("ruff", "format", "--check", *SOURCES),
        run_tool("ruff", "check", *SOURCES),
        run_tool("mypy", *packages, *adapter),
    ]
    return Counts(sum(results), results.count(False))


def load_tests(pattern: str) -> unittest.TestSuite:
    """Returns the tests of all packages, or those whose id has a pattern."""
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


class CountingResult(unittest.TextTestResult):
    """Count tests by their ids and print those that take long."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.failed_ids: set[str] = set()
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Notes the start of a test."""
        super().startTest(test)
        self._started = time.monotonic()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Prints a test that took long."""
        super().stopTest(test)
        took_s = time.monotonic() - self._started
        if took_s > SLOW_TEST_S:
            self.stream.writeln(f"{test.id()} took {took_s:.1f} s")

    def note_failures(self) -> None:
        """Gathers the ids of failed tests, subtests under their test."""
        for test, _ in self.failures + self.errors:
            case = getattr(test, "test_case", test)
            self.failed_ids.add(case.id())
        self.failed_ids |= {t.id() for t in self.unexpectedSuccesses}


def run_tests(pattern: str) -> Counts:
    """Runs the tests of all packages."""
    logging.disable(logging.CRITICAL)
    suite = load_tests(pattern)
    runner = unittest.TextTestRunner(
        stream=sys.stdout, resultclass=CountingResult
    )
    result = runner.run(suite)
    assert isinstance(result, CountingResult)
    result.note_failures()
    red = result.failed_ids & known_red()
    for name in sorted(red):
        print(f"known red: {name}")
    failed = len(result.failed_ids - red)
    skipped = len(result.skipped) + len(red)
    return Counts(result.testsRun - failed - skipped, failed, skipped)


def main() -> int:
    """Runs all checks; returns the exit code."""
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
