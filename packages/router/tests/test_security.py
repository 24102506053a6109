"""Tests of TLS, operator keys, fleet key rotation and discovery of routers."""

import json
import pathlib
import signal
import ssl
import tempfile
import time
import unittest
import urllib.request

from chervilwall_standins.demo import make_deployment, run_ctl
from chervilwall_standins.fleet import FLEET_KEY, Fleet, call_json, wait_for
from chervilwall_standins.sheets import make_sheet

DATA = pathlib.Path(__file__).parent / "data"
CERT, KEY = str(DATA / "cert.pem"), str(DATA / "key.pem")
PEER_TLS = {
    "ca_file": CERT,
    "cert_file": CERT,
    "key_file": KEY,
    "server_name": "127.0.0.1",
}
NEW_KEY = "the-new-key-of-the-fleet"


def sees_alive(fleet, router_name, count):
    """Returns whether a router sees exactly `count` members alive."""
    status = fleet.status(router_name)
    alive = [m for m in status["members"] if m[3] == "alive"]
    return len(alive) == count


class TlsTest(unittest.TestCase):
    def test_routers_meet_over_tls(self):
        with Fleet(routers=2, listen={"peer_tls": PEER_TLS}) as fleet:
            for name in fleet.router_names:
                wait_for(
                    lambda name=name: sees_alive(fleet, name, 2),
                    limit_s=8,
                    what="both routers joined",
                )

    def test_a_router_without_a_certificate_does_not_join(self):
        with Fleet(routers=2, listen={"peer_tls": PEER_TLS}) as fleet:
            wait_for(
                lambda: sees_alive(fleet, "router1", 2),
                limit_s=8,
                what="both routers joined",
            )
            fleet.signal_process("router2", signal.SIGKILL)
            fleet.wait_exit("router2", 5)
            listen = {
                "callers": fleet.caller_address("router2"),
                "peers": fleet.peer_address("router2"),
            }
            fleet.start_router("router2", listen=listen)
            fleet.wait_ready("router2")
            wait_for(
                lambda: sees_alive(fleet, "router1", 1),
                limit_s=8,
                what="router2 no longer alive",
            )
            time.sleep(2.0)
            self.assertTrue(sees_alive(fleet, "router1", 1))
            self.assertTrue(sees_alive(fleet, "router2", 1))

    def test_callers_are_served_over_tls(self):
        tls = {"cert_file": CERT, "key_file": KEY}
        context = ssl.create_default_context(cafile=CERT)
        context.check_hostname = False
        with Fleet(routers=0) as fleet:
            fleet.router_names = ["router1"]
            listen = {
                "callers": fleet.caller_address("router1"),
                "peers": fleet.peer_address("router1"),
                "tls": tls,
            }
            fleet.start_router("router1", listen=listen)
            # A router names itself only once it has a configuration.
            with tempfile.NamedTemporaryFile(suffix=".csv") as file:
                sheet = make_sheet(make_deployment())
                pathlib.Path(file.name).write_bytes(sheet)
                result = run_ctl(fleet, "apply", file.name)
            self.assertEqual(result.returncode, 0, result.stderr)
            url = f"https://{fleet.caller_address('router1')}/v1/routers"

            def served():
                with urllib.request.urlopen(url, context=context) as answer:
                    return len(json.loads(answer.read())["routers"]) == 1

            wait_for(served, limit_s=8, what="a response over TLS")


class SeedsTest(unittest.TestCase):
    def test_a_router_without_seeds_finds_others_by_the_host_list(self):
        with Fleet(routers=3, settings={"seeds": []}) as fleet:
            hosts = {
                fleet.router_ip(name): "live" for name in fleet.router_names
            }
            call_json(f"{fleet.platform_url}/admin/hosts", hosts)
            for name in fleet.router_names:
                wait_for(
                    lambda name=name: sees_alive(fleet, name, 3),
                    limit_s=8,
                    what="all routers joined",
                )


class KeysTest(unittest.TestCase):
    def test_the_fleet_key_rotates_without_a_stop(self):
        with Fleet(routers=3) as fleet:
            for keys in (
                [FLEET_KEY, NEW_KEY],
                [NEW_KEY, FLEET_KEY],
                [NEW_KEY],
            ):
                for name in fleet.router_names:
                    fleet.rewrite_settings(name, fleet_keys=keys)
                    fleet.signal_process(name, signal.SIGHUP)
                    time.sleep(0.3)
                time.sleep(1.0)
                for name in fleet.router_names:
                    self.assertTrue(sees_alive(fleet, name, 3), (name, keys))

    def test_a_router_with_another_key_is_not_heard(self):
        with Fleet(routers=2) as fleet:
            wait_for(
                lambda: sees_alive(fleet, "router1", 2),
                limit_s=8,
                what="both routers joined",
            )
            fleet.signal_process("router2", signal.SIGKILL)
            fleet.wait_exit("router2", 5)
            fleet.start_router("router2", fleet_keys=[NEW_KEY])
            fleet.wait_ready("router2")
            wait_for(
                lambda: sees_alive(fleet, "router1", 1),
                limit_s=8,
                what="router2 no longer alive",
            )
            time.sleep(1.0)
            self.assertTrue(sees_alive(fleet, "router1", 1))

    def test_operators_need_a_key(self):
        with Fleet(routers=1) as fleet:
            for path in ("status", "rows", "metrics", "explain"):
                url = f"{fleet.router_url('router1')}/v1/admin/{path}"
                with self.assertRaisesRegex(OSError, "401"):
                    call_json(url, key="not-the-key")
