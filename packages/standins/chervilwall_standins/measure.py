"""Compares the decisions with baselines on the recorded traces."""

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
from chervilwall_standins.policies import FleetPolicy, Policy
from chervilwall_standins.real_run import RealOutcome, run_real
from chervilwall_standins.replay import Outcome, Replay
from chervilwall_standins.trace import Trace, read_trace, shorten

TRACES = pathlib.Path(__file__).parents[3] / "traces"
REAL_S = 30.0
DEPLOYMENTS = ("astillas", "agency")


def replay_all(trace: Trace) -> list[Outcome]:
    """Returns the outcome of each policy on one trace."""
    policies: list[Policy] = [
        FleetPolicy(trace),
        FirstComePolicy(trace),
        RoundRobinPolicy(trace),
        StaticSharesPolicy(trace),
        OraclePolicy(trace),
    ]
    return [Replay(trace, policy).run() for policy in policies]


def print_outcomes(name: str, outcomes: list[Outcome]) -> None:
    """Prints one table, a policy a column."""
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
    for title, shape in rows.items():
        table.add(title, *(shape.format(o) for o in outcomes))
    print(table.to_text(), end="\n\n", flush=True)


def summarise(outcomes: list[Outcome]) -> dict[str, float]:
    """Returns the ratios that the aims are stated in."""
    ours, *baselines, oracle = outcomes
    best = min(o.gap for o in baselines)
    return {
        "fairness_gap_ratio_to_oracle": round(ours.gap / oracle.gap, 3),
        "fairness_gap_ratio_to_best_baseline": round(ours.gap / best, 3),
        "utilisation_ratio_to_oracle": round(
            ours.utilisation / oracle.utilisation, 4
        ),
        "control_bytes_per_request": round(ours.bytes_per_request, 1),
    }


def compare_real(name: str, replayed: Outcome, real: RealOutcome) -> None:
    """Prints a replay beside the same requests through real processes."""
    table = Table(
        [Column(f"{name}, {REAL_S:g} s"), Column("replay"), Column("processes")]
    )
    bytes_replayed = f"{replayed.bytes_per_request:.0f}"
    table.add("fairness gap", replayed.gap, real.gap)
    table.add(
        "utilisation",
        f"{replayed.utilisation:.3f}",
        f"{real.utilisation:.3f}",
    )
    table.add("refused", replayed.refused, real.refused)
    table.add(
        "control bytes/request", bytes_replayed, f"{real.bytes_per_request:.0f}"
    )
    print(table.to_text(), end="\n\n", flush=True)


def main() -> int:
    """Runs all replays; the last line is one JSON object."""
    result: dict[str, object] = {}
    for path in sorted(TRACES.glob("*.jsonl")):
        outcomes = replay_all(read_trace(path))
        print_outcomes(path.stem, outcomes)
        result[path.stem] = summarise(outcomes)
    for name in DEPLOYMENTS:
        trace = shorten(read_trace(TRACES / f"{name}.jsonl"), REAL_S)
        replayed = Replay(trace, FleetPolicy(trace), count_progress=False)
        compare_real(name, replayed.run(), run_real(trace))
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
