#!/usr/bin/env python3
r"""Compares variants of the router on days of the users' bench, in pairs.

    tools/experiment.py --bench BENCH --site SITE --days mix,scale-1 \
        --seeds 1-6 --variant base=HEAD \
        --variant 'other=HEAD@{"waiting": {"late_objectives": 0.5}}'

A variant is NAME=REVISION, NAME=REVISION@SETTINGS, where SETTINGS are added to
the template of the edge routers' settings, or NAME=FOLDER with a clone.

Each variant is played in a clone of its own beside this repository. The plays
of one day and seed follow each other, so that all variants meet the same load
of the machine, and the differences are taken within these pairs. The bench's
journal entries stay in the clones; `--out` gets a copy of each.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import re
import shutil
import statistics
import subprocess
import sys
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY_ID = re.compile(r"^snapshot ([0-9a-f]+)$", re.MULTILINE)
TEMPLATE = "deploy/edge.json.tmpl"
BOOTSTRAP_SAMPLES = 4000
CONFIDENCE = 0.95


class Play(NamedTuple):
    """A day to be played.

    Args:
        site (pathlib.Path): Site file.
        day (str): Name of the day, or a day file.
        seed (int): Seed of the day.
    """

    site: pathlib.Path
    day: str
    seed: int


class Result(NamedTuple):
    """What the bench measured in a play.

    Args:
        figures (dict): Worth, portions, parts and prices by their names.
        rules (dict): Broken rules.
        fault (str): Why the play does not count, or "".
        entry (str): File name of the journal entry.
    """

    figures: dict[str, float]
    rules: dict[str, Any]
    fault: str
    entry: str


class Variant(NamedTuple):
    """A version of the code.

    Args:
        name (str): Name in the report.
        folder (pathlib.Path): Clone that holds it.
    """

    name: str
    folder: pathlib.Path


def read_result(path: pathlib.Path) -> Result:
    """Returns the result in a journal entry with one day.

    Raises:
        ValueError: The entry holds no day.
    """
    entry = json.loads(path.read_text())
    days = entry.get("days") or []
    if not days:
        raise ValueError(f"no day in {path.name}: {entry.get('error')}")
    day = days[0]
    figures = {"worth": day["G"]}
    for key in ("served", "refused", "failed"):
        figures[key] = day[key]
    for name, _, value in day["parts"]:
        figures[name] = value
    prices = {name: value for name, _, value in day["prices"]}
    figures["prices"] = sum(prices.values())
    figures.update({f"price of {name}": v for name, v in prices.items()})
    return Result(figures, day["rules"], day["fault"] or "", path.name)


def bootstrap_interval(values: list[float]) -> tuple[float, float]:
    """Returns the interval of the mean, by resampling with a fixed seed."""
    rng = random.Random(0)
    means = sorted(
        statistics.fmean(rng.choices(values, k=len(values)))
        for _ in range(BOOTSTRAP_SAMPLES)
    )
    cut = int(BOOTSTRAP_SAMPLES * (1 - CONFIDENCE) / 2)
    return means[cut], means[-1 - cut]


def paired_differences(
    base: dict[Play, Result], other: dict[Play, Result]
) -> dict[str, list[float]]:
    """Returns the differences of each figure, over plays that both have."""
    differences: dict[str, list[float]] = {}
    for play, result in other.items():
        if play not in base:
            continue
        before = base[play].figures
        for name in sorted(before.keys() | result.figures.keys()):
            change = result.figures.get(name, 0.0) - before.get(name, 0.0)
            differences.setdefault(name, []).append(change)
    return differences


def render(results: dict[str, dict[Play, Result]]) -> str:
    """Returns the report of all variants, compared with the first."""
    names = list(results)
    base = results[names[0]]
    lines = []
    for name in names:
        worths = [r.figures["worth"] for r in results[name].values()]
        mean = statistics.fmean(worths) if worths else float("nan")
        lines.append(f"{name}: {len(worths)} plays, mean worth {mean:.3f}")
        for play, result in results[name].items():
            if result.rules or result.fault:
                broken = f"{result.rules} {result.fault}".strip()
                lines.append(f"  {play.day} seed {play.seed}: {broken}")
    for name in names[1:]:
        differences = paired_differences(base, results[name])
        lines.append(f"{name} - {names[0]}, mean [95 %], spread, pairs better:")
        for figure, values in differences.items():
            low, high = bootstrap_interval(values)
            mean = statistics.fmean(values)
            if figure != "worth" and abs(mean) < 0.001:
                continue
            better = sum(v > 0 for v in values)
            spread = statistics.pstdev(values)
            lines.append(
                f"  {figure:45} {mean:+.4f} [{low:+.4f} {high:+.4f}]"
                f" {spread:.4f} {better}/{len(values)}"
            )
        lines.append(
            "  worth by pair: "
            + " ".join(f"{v:+.3f}" for v in differences.get("worth", []))
        )
    return "\n".join(lines)


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds in a list such as 1-4,9."""
    seeds: list[int] = []
    for item in text.split(","):
        first, _, last = item.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def make_variant(text: str) -> Variant:
    """Returns a variant of the command line, cloned if it names a revision."""
    name, _, source = text.partition("=")
    if (pathlib.Path(source) / ".git").exists():
        return Variant(name, pathlib.Path(source).resolve())
    revision, _, overlay = source.partition("@")
    folder = ROOT.parent / f"variant-{name}"
    if not folder.exists():
        _git(ROOT, "clone", "--quiet", str(ROOT), str(folder))
    _git(folder, "fetch", "--quiet", "origin")
    _git(folder, "checkout", "--quiet", "--force", "--detach", revision)
    if overlay:
        template = folder / TEMPLATE
        template.write_text(add_settings(template.read_text(), overlay))
    return Variant(name, folder.resolve())


def add_settings(template: str, overlay: str) -> str:
    """Returns a settings template with the members of a JSON object added.

    Raises:
        ValueError: The overlay is not a JSON object.
    """
    members = json.loads(overlay)
    if not isinstance(members, dict):
        raise ValueError(f"not an object of settings: {overlay}")
    added = "".join(f', "{k}": {json.dumps(v)}' for k, v in members.items())
    # Braces of the overlay must not look like a placeholder of the template.
    added = added.replace("{", "{ ").replace("}", " }")
    end = template.rindex("}")
    return template[:end] + added + template[end:]


def _git(folder: pathlib.Path, *args: str) -> None:
    subprocess.run(["git", *args], cwd=folder, check=True)


def run_play(
    bench: pathlib.Path, variant: Variant, play: Play, args: argparse.Namespace
) -> Result | None:
    """Plays a day; returns None if the bench ended without a journal entry."""
    command = [str(bench), "run", str(play.site), play.day]
    command += ["--seed", str(play.seed), "--why", f"{args.why} {variant.name}"]
    command += ["--small"] if args.small else []
    done = subprocess.run(
        command, cwd=variant.folder, capture_output=True, text=True
    )
    ids = ENTRY_ID.findall(done.stdout)
    if not ids:
        print(f"no entry: {variant.name} {play}", file=sys.stderr)
        print(done.stdout[-2000:] + done.stderr[-2000:], file=sys.stderr)
        return None
    path = next((variant.folder / "journal").glob(f"*-{ids[-1]}.json"))
    if args.out:
        target = args.out / variant.name
        target.mkdir(parents=True, exist_ok=True)
        shutil.copy(path, target)
    return read_result(path)


def main() -> int:
    """Plays all pairs and prints the report."""
    args = _parse_args()
    variants = [make_variant(text) for text in args.variant]
    sites = [site.resolve() for site in args.site]
    plays = [
        Play(site, day, seed)
        for seed in parse_seeds(args.seeds)
        for site in sites
        for day in args.days.split(",")
    ]
    results: dict[str, dict[Play, Result]] = {v.name: {} for v in variants}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        futures = {
            pool.submit(run_play, args.bench.resolve(), v, play, args): (
                v,
                play,
            )
            for play in plays
            for v in variants
        }
        for fut in concurrent.futures.as_completed(futures):
            variant, play = futures[fut]
            result = fut.result()
            if result is None:
                continue
            results[variant.name][play] = result
            print(
                f"{play.site.stem} {play.day} {play.seed} {variant.name}"
                f" {result.figures['worth']:.3f} {result.rules or ''}",
                flush=True,
            )
    for site in sites:
        print(f"== {site.stem}")
        print(
            render(
                {
                    name: {p: r for p, r in found.items() if p.site == site}
                    for name, found in results.items()
                }
            )
        )
    return 0


def _parse_args() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", type=pathlib.Path, required=True)
    parser.add_argument(
        "--site", type=pathlib.Path, action="append", required=True
    )
    parser.add_argument("--days", default="mix")
    parser.add_argument("--seeds", default="1-4", help="such as 1-4,9")
    parser.add_argument(
        "--variant",
        action="append",
        required=True,
        help="NAME=REVISION or NAME=FOLDER; the first is the base",
    )
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--out", type=pathlib.Path)
    parser.add_argument("--why", default="experiment")
    parser.add_argument("--small", action="store_true")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
