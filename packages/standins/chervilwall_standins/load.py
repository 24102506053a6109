"""Sends steady load to a fleet; prints counts and latencies of answers."""

import argparse
import asyncio
import sys
from collections import Counter

from chervilwall_standins.caller import Answer, Caller


def make_parser() -> argparse.ArgumentParser:
    """Returns the command line parser."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("router", help="IP:port of any router")
    parser.add_argument(
        "key", nargs="+", help="API keys of teams, used in turn"
    )
    parser.add_argument("--path", default="/v1/chat/completions")
    parser.add_argument(
        "--rate", type=float, default=10.0, help="requests per second"
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=20)
    parser.add_argument("--stream", action="store_true")
    parser.add_argument("--idempotency-keys", action="store_true")
    return parser


async def send_load(args: argparse.Namespace) -> list[Answer]:
    """Sends requests at a constant rate and returns all answers."""
    callers = [Caller([args.router], key) for key in args.key]
    tasks = []
    for number in range(int(args.rate * args.seconds)):
        label = f"load{number}"
        headers = {"Idempotency-Key": label} if args.idempotency_keys else {}
        request = callers[number % len(callers)].send(
            args.path,
            label=label,
            tokens=args.tokens,
            stream=args.stream,
            headers=headers,
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1.0 / args.rate)
    return await asyncio.gather(*tasks)


def summarise(answers: list[Answer]) -> str:
    """Returns counts by outcome and latency percentiles of successes."""
    outcomes = Counter(
        "answered"
        if a.ok
        else a.problem.get("title", "broken")
        + f" (executed: {a.problem.get('executed', 'unknown')})"
        for a in answers
    )
    lines = [f"{count:>7}  {kind}" for kind, count in outcomes.most_common()]
    durations_s = sorted(a.total_s for a in answers if a.ok)
    if durations_s:
        p50, p99 = (
            durations_s[len(durations_s) // 2],
            durations_s[int(len(durations_s) * 0.99)],
        )
        lines.append(f"median {p50:.3f} s, p99 {p99:.3f} s")
    return "\n".join(lines)


def main() -> int:
    """Runs the command line and returns its exit code."""
    answers = asyncio.run(send_load(make_parser().parse_args()))
    print(summarise(answers))
    return 0 if answers else 1


if __name__ == "__main__":
    sys.exit(main())
