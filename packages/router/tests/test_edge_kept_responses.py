"""Tests of responses that are paused or given up to bound memory."""

import unittest
from unittest import mock

from chervilwall import events
from chervilwall.kept_bytes import KeptResponse, Standing
from chervilwall_router.edge.kept_responses import KeptResponses
from chervilwall_router.metrics import RouterMetrics

MIB = 1 << 20


class KeptResponsesTest(unittest.TestCase):
    def setUp(self):
        self.metrics = RouterMetrics()
        self.kept = KeptResponses(4 * MIB, self.metrics, lambda: 1.0)

    def add(self, target, size, standing=Standing.BEGUN):
        response, reader = KeptResponse(target), mock.Mock()
        self.kept.update(response, reader, size, standing)
        return response, reader

    def count(self, name):
        return self.metrics.view().counters.get(name, 0)

    def test_readers_are_held_and_released(self):
        parts = [self.add("t1", MIB // 2) for _ in range(6)]
        held = [part for part in parts if part[1].hold.called]
        self.assertTrue(held)
        self.assertEqual(self.count("responses_paused"), len(held))
        for response, reader in parts:
            self.kept.remove(response)
            reader.give_up.assert_not_called()
        for _, reader in held[:-1]:
            self.assertLessEqual(reader.release.call_count, 1)
        self.assertEqual(self.kept.total_bytes, 0)

    def test_the_target_of_a_response_that_is_given_up_is_logged(self):
        _, sound = self.add("sound", MIB)
        with mock.patch.object(events, "log_event") as log_event:
            response, bad = self.add("bad", 3 * MIB + 1, Standing.UNCONFIRMED)
        (call,) = log_event.call_args_list
        self.assertIs(call.args[1], events.RESPONSE_GIVEN_UP)
        self.assertEqual(call.kwargs["target"], "bad")
        self.assertEqual(call.kwargs["kept_bytes"], 3 * MIB + 1)
        self.assertEqual(self.count("responses_given_up"), 1)
        bad.give_up.assert_called_once()
        sound.give_up.assert_not_called()
        self.kept.update(response, bad, MIB, Standing.UNCONFIRMED)
        self.kept.remove(response)
        self.assertEqual(self.kept.total_bytes, MIB)
