"""Tests of the decision which of two targets keeps a request."""

import unittest

from chervilwall.http_messages import ResponseHead
from chervilwall.takeover import (
    MAX_OVERLAP_S,
    Takeover,
    TakeoverState,
    decide_takeover,
)

NOTHING = TakeoverState(
    is_needed=True,
    head=None,
    has_ended=False,
    is_complete=False,
    elapsed_s=0.0,
)
SUCCESS = ResponseHead(200, signed=True)
REFUSAL = ResponseHead(503, not_executed=True)


class TakeoverTest(unittest.TestCase):
    def assert_decision(self, expected, **fields):
        state = NOTHING._replace(**fields)
        with self.subTest(**fields):
            self.assertIs(decide_takeover(state), expected)

    def test_a_silent_target_is_kept_until_the_other_one_answers(self):
        self.assert_decision(Takeover.UNDECIDED)
        self.assert_decision(Takeover.TAKEN, head=SUCCESS)

    def test_a_silent_target_is_not_left_for_one_that_refuses(self):
        misdirected = ResponseHead(421, not_executed=True)
        for head in (REFUSAL, misdirected, ResponseHead(500, signed=True)):
            self.assert_decision(Takeover.UNDECIDED, head=head)
            self.assert_decision(
                Takeover.FAILED, head=head, has_ended=True, is_complete=True
            )

    def test_a_refusal_without_an_end_is_not_waited_for(self):
        self.assert_decision(
            Takeover.FAILED, head=REFUSAL, elapsed_s=MAX_OVERLAP_S
        )

    def test_a_success_that_may_not_be_relayed_does_not_take_over(self):
        for head in (
            ResponseHead(200),
            SUCCESS._replace(has_content_encoding=True),
            SUCCESS._replace(not_executed=True),
        ):
            self.assert_decision(
                Takeover.FAILED, head=head, has_ended=True, is_complete=True
            )

    def test_a_connection_that_breaks_off_does_not_take_over(self):
        for head in (None, SUCCESS):
            self.assert_decision(Takeover.FAILED, head=head, has_ended=True)

    def test_two_targets_do_not_work_for_longer_than_allowed(self):
        self.assertLess(MAX_OVERLAP_S, 0.4)
        self.assert_decision(Takeover.TAKEN, elapsed_s=MAX_OVERLAP_S)

    def test_a_target_that_goes_on_keeps_its_request(self):
        for head in (None, SUCCESS, REFUSAL):
            self.assert_decision(
                Takeover.NOT_NEEDED, is_needed=False, head=head
            )


if __name__ == "__main__":
    unittest.main()
