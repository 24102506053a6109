"""Tests of the view of cold targets, on metrics pages of routers."""

import unittest

from chervilwall_ctl.cold_view import fetch_cold_targets, parse_cold_targets
from chervilwall_ctl.main import make_parser
from chervilwall_ctl.router_client import RouterError

PAGE = """\
requests 3
cold_targets 1
cold_target_remaining_s{target="t1",service="svc",source="zone returned"} 12.50
cold_target_rate_per_s{target="t1",service="svc"} 7.062
cold_target_use{target="t1",service="svc"} 0.850
cold_target_sent{target="t1",service="svc"} 41
target_limit_per_s{target="t2",peer=""} 5
"""


class _Client:
    """Stub of a client for one router that answers and others that do not."""

    async def get_text(self, address, path):
        if address != "here:1" or path != "/metrics":
            raise RouterError("no route", step=path, peer=address)
        return PAGE


class ColdViewTest(unittest.IsolatedAsyncioTestCase):
    def test_a_page_is_parsed(self):
        (target,) = parse_cold_targets("here:1", PAGE)
        self.assertEqual(
            target,
            ("here:1", "t1", "svc", "zone returned", 12.5, 7.062, 0.85, 41),
        )
        self.assertEqual(parse_cold_targets("here:1", "requests 3\n"), [])

    async def test_routers_that_do_not_answer_are_named(self):
        view = await fetch_cold_targets(_Client(), ["here:1", "gone:1"])
        self.assertEqual(len(view.targets), 1)
        self.assertEqual(len(view.missing), 1)
        text = view.to_text()
        self.assertIn("zone returned", text)
        self.assertIn("no answer from gone:1", text)

    def test_the_command_takes_addresses(self):
        args = make_parser().parse_args(["cold", "10.0.0.1:7415"])
        self.assertEqual(args.metrics, ["10.0.0.1:7415"])


if __name__ == "__main__":
    unittest.main()
