"""Tests of claims on idempotency keys."""

import unittest

from chervilwall import claim as claim_lib
from chervilwall.claim import Claim, StoredResponse, view_claim


class ClaimTest(unittest.TestCase):
    def make(self, state, answer=None):
        return Claim("r1-1", "n1", b"fp", state, 100.0, answer)

    def view(self, claim, nonce="n2", fingerprint=b"fp"):
        return view_claim(claim, nonce=nonce, fingerprint=fingerprint)

    def test_verdicts(self):
        answer = StoredResponse(200, "text/plain", b"ok", True)
        done = self.make(claim_lib.STATE_DONE, answer)
        claimed = self.make(claim_lib.STATE_CLAIMED)
        unknown = self.make(claim_lib.STATE_UNKNOWN)
        self.assertEqual(self.view(done), (claim_lib.VERDICT_REPLAY, answer))
        verdicts = [
            self.view(claimed).verdict,
            self.view(unknown).verdict,
            self.view(claimed, nonce="n1").verdict,
            self.view(done, fingerprint=b"other").verdict,
        ]
        self.assertEqual(
            verdicts,
            [
                claim_lib.VERDICT_RUNNING,
                claim_lib.VERDICT_UNKNOWN,
                claim_lib.VERDICT_OURS,
                claim_lib.VERDICT_MISMATCH,
            ],
        )

    def test_a_holder_paused_past_the_limit_may_not_dispatch(self):
        self.assertTrue(claim_lib.may_dispatch(10.0, 10.5))
        late = 10.0 + claim_lib.DISPATCH_LIMIT_S
        self.assertFalse(claim_lib.may_dispatch(10.0, late))
        self.assertLess(claim_lib.DISPATCH_LIMIT_S, claim_lib.CLAIM_TTL_S)

    def test_travels_as_bytes(self):
        claim = self.make(claim_lib.STATE_CLAIMED)
        blob = claim_lib.encode_claim(claim)
        self.assertEqual(claim_lib.decode_claim(blob), claim)
