"""End-to-end demonstration with real processes on loopback addresses.

Applies a sheet, sends requests of all teams, submits a booking twice, stops the
routers and compares the report with what callers received.
"""

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
    is_complete_answer,
    is_complete_stream,
)
from chervilwall_standins.fleet import (
    OPERATOR_KEY,
    Fleet,
    call_json,
    wait_for,
)
from chervilwall_standins.loopback import TARGET_PORT, unique_loopback_address
from chervilwall_standins.sheets import Deployment, make_sheet, team_key

LOG = logging.getLogger(__name__)
# Applying a sheet is retried, as an operator would, when it fails, for example
# because the platform does not answer before its timeout.
MAX_APPLY_ATTEMPTS = 3
ENGINE_COUNT = 6
# Plain targets do not generate tokens.
PLAIN_COUNT = 3
REQUESTS_PER_TEAM = 4
TOKENS = 20
STOP_TIMEOUT_S = 20.0


class DemoError(Exception):
    """A request was lost, run twice or cut off, or a command failed."""


def print_progress(text: str) -> None:
    """Prints a progress message."""
    print(f"demo: {text}", flush=True)


def run_ctl(fleet: Fleet, *args: str) -> subprocess.CompletedProcess[str]:
    """Runs the operator command line against a fleet."""
    routers = [
        f"--router={fleet.caller_address(name)}" for name in fleet.router_names
    ]
    command = [sys.executable, "-m", "chervilwall_ctl", *args]
    command += ["--platform", fleet.platform_url, "--key", OPERATOR_KEY]
    return subprocess.run(
        command + routers, capture_output=True, text=True, check=False
    )


def make_deployment() -> Deployment:
    """Returns the demonstrated deployment, each target on its own address."""
    return Deployment(
        name="astillas",
        engine_service="contract-model",
        plain_service="booking",
        measure="work",
        engine_addresses=tuple(
            f"{unique_loopback_address()}:{TARGET_PORT}"
            for _ in range(ENGINE_COUNT)
        ),
        plain_addresses=tuple(
            f"{unique_loopback_address()}:{TARGET_PORT}"
            for _ in range(PLAIN_COUNT)
        ),
    )


def apply_sheet(fleet: Fleet, sheet: bytes, *, quiet: bool = False) -> None:
    """Applies a sheet and waits until all routers have a configuration.

    It does not wait for this sheet if an earlier one is in force already.

    Raises:
        DemoError: If the sheet is not accepted.
        AssertionError: If a router has no configuration after 5 s.
    """
    with tempfile.NamedTemporaryFile(suffix=".csv") as file:
        pathlib.Path(file.name).write_bytes(sheet)
        for _ in range(MAX_APPLY_ATTEMPTS):
            result = run_ctl(fleet, "apply", file.name, "--operator", "demo")
            if result.returncode != EXIT_FAILED:
                break
            LOG.warning("applying the sheet failed: %s", result.stderr)
    if result.returncode:
        raise DemoError(f"sheet not accepted: {result.stderr}")
    elapsed_s = wait_for(
        lambda: all(
            fleet.status(n)["config_version"] for n in fleet.router_names
        ),
        limit_s=5.0,
        what="configuration in force on all routers",
    )
    if not quiet:
        accepted = result.stdout.strip()
        print_progress(
            f"{accepted}; in force on all routers after {elapsed_s:.2f} s"
        )


async def send_load(fleet: Fleet, dep: Deployment) -> int:
    """Sends requests of all teams and returns how many were answered.

    Raises:
        DemoError: If any answer is not complete.
    """
    seeds = [fleet.caller_address(name) for name in fleet.router_names]
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
        complete = is_complete_stream(answer, label, TOKENS)
    else:
        complete = is_complete_answer(answer, label)
    if not complete:
        raise DemoError(f"request {label}: {answer}")


async def send_booking_twice(fleet: Fleet, dep: Deployment) -> list[Answer]:
    """Sends the same booking through two routers concurrently."""
    caller = Caller(
        [fleet.caller_address(fleet.router_names[0])], team_key(dep, 1)
    )
    sends = [
        caller.send(
            "/case/filings",
            label="booking-1",
            router=fleet.caller_address(name),
            headers={"Idempotency-Key": "booking-1"},
        )
        for name in fleet.router_names[:2]
    ]
    return list(await asyncio.gather(*sends))


def check_booking(dep: Deployment, answers: list[Answer]) -> None:
    """Checks that the booking ran once and that both answers are consistent.

    Raises:
        DemoError: If the booking did not run exactly once, or if an answer is
            neither a success nor a refusal with an unknown outcome.
    """
    runs = sum(
        call_json(f"http://{address}/admin")["runs"].get("booking-1", 0)
        for address in dep.plain_addresses
    )
    if runs != 1:
        raise DemoError(f"the booking ran {runs} times")
    for answer in answers:
        acceptable = answer.ok or answer.problem.get("executed") == "unknown"
        if not acceptable:
            raise DemoError(f"booking: {answer}")
    statuses = sorted(a.status for a in answers)
    print_progress(f"a booking sent twice ran once; its callers got {statuses}")


def stop_fleet(fleet: Fleet) -> None:
    """Stops all routers with SIGTERM and checks their exit codes.

    Raises:
        DemoError: If a router exits with a code other than 0.
    """
    for name in fleet.router_names:
        fleet.signal_process(name, signal.SIGTERM)
    for name in fleet.router_names:
        code = fleet.wait_exit(name, STOP_TIMEOUT_S)
        if code:
            raise DemoError(f"router {name} ended with code {code}")


def check_report(fleet: Fleet, expected_completed: int) -> None:
    """Prints the report of the stopped fleet and checks its totals.

    Raises:
        DemoError: If the completed requests differ from the expected number or
            if any request is uncertain.
    """
    result = run_ctl(fleet, "report")
    print(result.stdout)
    rows = [line.split() for line in result.stdout.splitlines()[1:]]
    # Columns 3 and 6 are "completed" and "uncertain".
    completed = sum(int(row[3]) for row in rows)
    uncertain = sum(int(row[6]) for row in rows)
    if completed != expected_completed or uncertain:
        raise DemoError(
            f"{expected_completed} answered, report says {completed}"
        )


def main() -> int:
    """Runs the demonstration and returns its exit code."""
    dep = make_deployment()
    try:
        with Fleet(routers=3) as fleet:
            fleet.start_targets("engines", list(dep.engine_addresses))
            fleet.start_targets("plains", list(dep.plain_addresses))
            print_progress("platform, 9 targets and 3 routers run")
            apply_sheet(fleet, make_sheet(dep))
            routers = call_json(f"{fleet.router_url('router1')}/v1/routers")
            print_progress(
                "routers listed for callers: "
                f"{[r['name'] for r in routers['routers']]}"
            )
            sent = asyncio.run(send_load(fleet, dep))
            print_progress(
                f"{sent} requests of {dep.teams} teams answered completely"
            )
            answers = asyncio.run(send_booking_twice(fleet, dep))
            check_booking(dep, answers)
            replayed = [
                a for a in answers if "Idempotency-Replayed" in a.headers
            ]
            answered = sum(a.ok for a in answers) - len(replayed)
            print(run_ctl(fleet, "status").stdout)
            stop_fleet(fleet)
            print_progress("all routers exited with code 0")
            check_report(fleet, sent + answered)
    except (DemoError, AssertionError) as exc:
        print_progress(f"FAILED: {exc}")
        return 1
    print_progress("no request was lost, run twice or cut off")
    return 0


if __name__ == "__main__":
    sys.exit(main())
