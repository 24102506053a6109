"""Tests of the recognition of retries."""

import unittest

from chervilwall.unserved_requests import UnservedRequests


class UnservedRequestsTest(unittest.TestCase):
    def test_a_return_tells_when_it_came_first(self):
        unserved = UnservedRequests()
        unserved.record("team", "own", 1.0)
        self.assertEqual(unserved.pop_first_arrival("team", "own", 3.0), 1.0)

    def test_others_are_new(self):
        unserved = UnservedRequests()
        unserved.record("team", "own", 1.0)
        self.assertIsNone(unserved.pop_first_arrival("other", "own", 3.0))
        self.assertIsNone(unserved.pop_first_arrival("team", "else", 3.0))

    def test_a_note_tells_of_one_return_only(self):
        unserved = UnservedRequests()
        unserved.record("team", "own", 1.0)
        unserved.pop_first_arrival("team", "own", 3.0)
        self.assertIsNone(unserved.pop_first_arrival("team", "own", 4.0))

    def test_a_prompt_without_a_part_of_its_own_is_always_new(self):
        unserved = UnservedRequests()
        unserved.record("team", "", 1.0)
        self.assertIsNone(unserved.pop_first_arrival("team", "", 2.0))

    def test_notes_are_bounded_in_time_and_number(self):
        unserved = UnservedRequests(retention_s=10.0, max_requests=2)
        unserved.record("team", "old", 0.0)
        self.assertIsNone(unserved.pop_first_arrival("team", "old", 11.0))
        for name in ("a", "b", "c"):
            unserved.record("team", name, 20.0)
        self.assertIsNone(unserved.pop_first_arrival("team", "a", 21.0))
        self.assertEqual(unserved.pop_first_arrival("team", "c", 21.0), 20.0)
