"""The whole path, shown with real processes on loopback addresses."""

import asyncio
import logging
import pathlib
import signal
import subprocess
import sys
import tempfile

from chervilwall_ctl.commands import EXIT_FAILED

from chervilwall_standins.caller import (
    Answer,
    Caller,
    is_whole_answer,
    is_whole_stream,
)
from chervilwall_standins.fleet import (
    OPERATOR_KEY,
    Fleet,
    call_json,
    wait_for,
)
from chervilwall_standins.loopback import TARGET_PORT, own_address
from chervilwall_standins.sheets import Deployment, make_sheet, team_key

LOG = logging.getLogger(__name__)
# An operator repeats what failed as the platform did not answer in time.
APPLY_TRIES = 3
ENGINES = 6
PLAINS = 3
REQUESTS_PER_TEAM = 4
TOKENS = 20
STOP_LIMIT_S = 20.0


class DemoError(Exception):
    """The fleet lost, doubled or cut something."""


def say(text: str) -> None:
    """Prints a line of progress."""
    print(f"demo: {text}", flush=True)


def run_ctl(fleet: Fleet, *args: str) -> subprocess.CompletedProcess[str]:
    """Runs the operators' tool against a fleet."""
    routers = [f"--router={fleet.address(name)}" for name in fleet.names]
    command = [sys.executable, "-m", "chervilwall_ctl", *args]
    command += ["--platform", fleet.platform_url, "--key", OPERATOR_KEY]
    return subprocess.run(
        command + routers, capture_output=True, text=True, check=False
    )


def make_deployment() -> Deployment:
    """Returns the deployment that is shown, on free ports."""
    return Deployment(
        name="astillas",
        engine="contract-model",
        plain="booking",
        measure="work",
        engines=tuple(f"{own_address()}:{TARGET_PORT}" for _ in range(ENGINES)),
        plains=tuple(f"{own_address()}:{TARGET_PORT}" for _ in range(PLAINS)),
    )


def apply_sheet(fleet: Fleet, sheet: bytes, *, quiet: bool = False) -> None:
    """Accepts a sheet and waits until it is in force everywhere."""
    with tempfile.NamedTemporaryFile(suffix=".csv") as file:
        pathlib.Path(file.name).write_bytes(sheet)
        for _ in range(APPLY_TRIES):
            done = run_ctl(fleet, "apply", file.name, "--operator", "demo")
            if done.returncode != EXIT_FAILED:
                break
            LOG.warning("applied again: %s", done.stderr)
    if done.returncode:
        raise DemoError(f"sheet not accepted: {done.stderr}")
    took_s = wait_for(
        lambda: all(fleet.status(n)["config_version"] for n in fleet.names),
        limit_s=5.0,
        what="configuration in force on all routers",
    )
    if not quiet:
        accepted = done.stdout.strip()
        say(f"{accepted}; in force on all routers after {took_s:.2f} s")


async def send_load(fleet: Fleet, dep: Deployment) -> int:
    """Sends requests of all teams; returns how many were answered."""
    seeds = [fleet.address(name) for name in fleet.names]
    tasks = []
    for index in range(dep.teams):
        caller = Caller(seeds, team_key(dep, index))
        for number in range(REQUESTS_PER_TEAM):
            label = f"t{index}n{number}"
            tasks.append(_send_one(caller, label, number % 2 == 0))
    answers = await asyncio.gather(*tasks)
    return len(answers)


async def _send_one(caller: Caller, label: str, stream: bool) -> None:
    headers = {"Chervilwall-Class": "chat" if stream else "review"}
    answer = await caller.send(
        "/v1/chat/completions",
        label=label,
        tokens=TOKENS,
        stream=stream,
        headers=headers,
    )
    if stream:
        whole = is_whole_stream(answer, label, TOKENS)
    else:
        whole = is_whole_answer(answer, label)
    if not whole:
        raise DemoError(f"request {label}: {answer}")


async def book_twice(fleet: Fleet, dep: Deployment) -> list[Answer]:
    """Sends one booking twice, through two routers at once."""
    caller = Caller([fleet.address(fleet.names[0])], team_key(dep, 1))
    sends = [
        caller.send(
            "/case/filings",
            label="booking-1",
            router=fleet.address(name),
            headers={"Idempotency-Key": "booking-1"},
        )
        for name in fleet.names[:2]
    ]
    return list(await asyncio.gather(*sends))


def check_booking(dep: Deployment, answers: list[Answer]) -> None:
    """Checks that the booking ran once and its second caller was told so."""
    runs = sum(
        call_json(f"http://{address}/admin")["runs"].get("booking-1", 0)
        for address in dep.plains
    )
    if runs != 1:
        raise DemoError(f"the booking ran {runs} times")
    for answer in answers:
        known = answer.ok or answer.problem.get("executed") == "unknown"
        if not known:
            raise DemoError(f"booking: {answer}")
    statuses = sorted(a.status for a in answers)
    say(f"a booking sent twice ran once; its callers got {statuses}")


def stop_fleet(fleet: Fleet) -> None:
    """Stops every router as planned."""
    for name in fleet.names:
        fleet.send_signal(name, signal.SIGTERM)
    for name in fleet.names:
        code = fleet.wait_exit(name, STOP_LIMIT_S)
        if code:
            raise DemoError(f"router {name} ended with code {code}")


def check_report(fleet: Fleet, sent: int) -> None:
    """Prints the report of the stopped fleet and checks its totals."""
    done = run_ctl(fleet, "report")
    print(done.stdout)
    table = [line.split() for line in done.stdout.splitlines()[1:]]
    completed = sum(int(row[3]) for row in table)
    uncertain = sum(int(row[6]) for row in table)
    if completed != sent or uncertain:
        raise DemoError(f"{sent} answered, report says {completed}")


def main() -> int:
    """Runs the demonstration; returns its exit code."""
    dep = make_deployment()
    try:
        with Fleet(routers=3) as fleet:
            fleet.start_targets("engines", list(dep.engines))
            fleet.start_targets("plains", list(dep.plains))
            say("platform, 9 targets and 3 routers run")
            apply_sheet(fleet, make_sheet(dep))
            routers = call_json(f"{fleet.url('router1')}/v1/routers")
            say(f"callers are told {[r['name'] for r in routers['routers']]}")
            sent = asyncio.run(send_load(fleet, dep))
            say(f"{sent} requests of {dep.teams} teams answered whole")
            answers = asyncio.run(book_twice(fleet, dep))
            check_booking(dep, answers)
            replayed = [
                a for a in answers if "Idempotency-Replayed" in a.headers
            ]
            answered = sum(a.ok for a in answers) - len(replayed)
            print(run_ctl(fleet, "status").stdout)
            stop_fleet(fleet)
            say("every router stopped as planned")
            check_report(fleet, sent + answered)
    except (DemoError, AssertionError) as exc:
        say(f"FAILED: {exc}")
        return 1
    say("nothing was lost, doubled or cut")
    return 0


if __name__ == "__main__":
    sys.exit(main())
