"""What the explanation of a request says of cold targets and their load."""

from collections.abc import Mapping
from typing import Any

from chervilwall.cold_targets import ColdTargets
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import ReportedLoad


class ColdFacts:
    """Tell for how long a target stays cold.

    Args:
        cold (ColdTargets): Targets that are cold.
    """

    def __init__(self, cold: ColdTargets) -> None:
        self._cold = cold

    def describe(
        self, target: RegisteredTarget, now: float
    ) -> Mapping[str, Any]:
        """Returns `cold_s`, the remaining seconds, if the target is cold.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        end = self._cold.cold_end(target)
        return {} if end is None else {"cold_s": round(max(0.0, end - now), 1)}


class LoadFacts:
    """Tell what a target reports of its load.

    Args:
        reported (ReportedLoad): Load that the targets report.
    """

    def __init__(self, reported: ReportedLoad) -> None:
        self._reported = reported

    def describe(
        self, target: RegisteredTarget, now: float
    ) -> Mapping[str, Any]:
        """Returns the factor on predicted times and the age of the report.

        Nothing if the target reports no load, or did so too long ago.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        report = self._reported.of(target, now)
        if report is None:
            return {}
        return {
            "slowdown": round(report.slowdown, 2),
            "waiting_there": report.waiting,
            "report_age_s": round(max(0.0, now - report.at), 2),
        }
