"""Compares the cell schedulers with baseline policies on stored traces.

The beginnings of some traces are also sent through a fleet of processes, to
compare the replays with it.
"""

import json
import pathlib
import sys

from chervilwall_ctl.table import Column, Table

from chervilwall_standins.baselines import (
    FirstComePolicy,
    OraclePolicy,
    RoundRobinPolicy,
    StaticSharesPolicy,
)
from chervilwall_standins.policies import CellSchedulerPolicy, Policy
from chervilwall_standins.real_run import RealOutcome, run_real
from chervilwall_standins.replay import Replay, ReplayOutcome
from chervilwall_standins.trace import Trace, read_trace, shorten

TRACES = pathlib.Path(__file__).parents[3] / "traces"
# Length of the beginning of a trace that is run on processes.
REAL_RUN_S = 30.0
FLEET_TRACES = ("astillas", "agency")


def replay_all(trace: Trace) -> list[ReplayOutcome]:
    """Returns the outcomes of all policies.

    Returns:
        The outcome of the cell schedulers, those of the baselines, and that of
        the oracle.
    """
    policies: list[Policy] = [
        CellSchedulerPolicy(trace),
        FirstComePolicy(trace),
        RoundRobinPolicy(trace),
        StaticSharesPolicy(trace),
        OraclePolicy(trace),
    ]
    return [Replay(trace, policy).run() for policy in policies]


def print_outcomes(name: str, outcomes: list[ReplayOutcome]) -> None:
    """Prints a table with one column per policy."""
    table = Table([Column(name), *(Column(o.policy, True) for o in outcomes)])
    rows = {
        "fairness gap": "{0.gap:.1f}",
        "utilisation": "{0.utilisation:.4f}",
        "refused": "{0.refused}",
        "tight p50 wait s": "{0.wait_p50_s:.3f}",
        "tight p99 wait s": "{0.wait_p99_s:.3f}",
        "longest starved s": "{0.starved_s:.2f}",
        "control messages/request": "{0.messages_per_request:.2f}",
        "control bytes/request": "{0.bytes_per_request:.0f}",
    }
    for title, row_format in rows.items():
        table.add(title, *(row_format.format(o) for o in outcomes))
    print(table.to_text(), end="\n\n", flush=True)


def summarise(outcomes: list[ReplayOutcome]) -> dict[str, float]:
    """Returns the values that traces/OUTCOMES.json has bounds for.

    Args:
        outcomes (list): Outcomes in the order of `replay_all`.
    """
    cells, *baselines, oracle = outcomes
    min_baseline_gap = min(o.gap for o in baselines)
    return {
        "fairness_gap_ratio_to_oracle": round(cells.gap / oracle.gap, 3),
        "fairness_gap_ratio_to_best_baseline": round(
            cells.gap / min_baseline_gap, 3
        ),
        "utilisation_ratio_to_oracle": round(
            cells.utilisation / oracle.utilisation, 4
        ),
        "control_bytes_per_request": round(cells.bytes_per_request, 1),
    }


def print_fleet_comparison(
    name: str, replayed: ReplayOutcome, measured: RealOutcome
) -> None:
    """Prints a replay beside a run of the same trace on real processes.

    A replay simulates targets and time; a run sends the requests through
    routers and targets that are processes.
    """
    table = Table(
        [
            Column(f"{name}, {REAL_RUN_S:g} s"),
            Column("replay"),
            Column("processes"),
        ]
    )
    bytes_replayed = f"{replayed.bytes_per_request:.0f}"
    table.add("fairness gap", replayed.gap, measured.gap)
    table.add(
        "utilisation",
        f"{replayed.utilisation:.3f}",
        f"{measured.utilisation:.3f}",
    )
    table.add("refused", replayed.refused, measured.refused)
    table.add(
        "control bytes/request",
        bytes_replayed,
        f"{measured.bytes_per_request:.0f}",
    )
    print(table.to_text(), end="\n\n", flush=True)


def main() -> int:
    """Prints all comparisons, then the bounded values as one JSON line."""
    result: dict[str, object] = {}
    for path in sorted(TRACES.glob("*.jsonl")):
        outcomes = replay_all(read_trace(path))
        print_outcomes(path.stem, outcomes)
        result[path.stem] = summarise(outcomes)
    for name in FLEET_TRACES:
        trace = shorten(read_trace(TRACES / f"{name}.jsonl"), REAL_RUN_S)
        replayed = Replay(
            trace, CellSchedulerPolicy(trace), count_progress=False
        )
        print_fleet_comparison(name, replayed.run(), run_real(trace))
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
