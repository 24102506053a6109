"""Tests of the load of requests in flight, as reported to peers."""

import unittest

from chervilwall.running_requests import (
    Granter,
    RunningRequest,
    RunningRequests,
)

G1, G2 = Granter("a", 1), Granter("b", 2)


class HeldRequestsTest(unittest.TestCase):
    def test_load_is_told_by_granter(self):
        requests = RunningRequests()
        requests.add(1, RunningRequest(G1, "t", 100, 10))
        requests.add(2, RunningRequest(G1, "t", 50, 10))
        requests.add(3, RunningRequest(G2, "u", 70, 10))
        requests.record_prefill_done(1)
        loads = {load.granter: load for load in requests.loads()}
        self.assertEqual(loads["a"].request_numbers, (1, 2))
        self.assertEqual(loads["a"].items, (("t", 2, 50, 20),))
        self.assertEqual(loads["b"].items, (("u", 1, 70, 10),))

    def test_an_ended_request_is_told_no_more(self):
        requests = RunningRequests()
        requests.add(1, RunningRequest(G1, "t", 100, 10))
        requests.remove(1)
        requests.record_prefill_done(1)
        self.assertEqual(requests.loads(), ())
