"""Tests of the headers sent to targets and of the usage they report."""

import unittest

from chervilwall.classify import CallerRequest
from chervilwall_router.target_client import _request_headers, _usage_work


class TargetRequestTest(unittest.TestCase):
    def test_a_team_key_never_reaches_a_target(self):
        headers = {
            "Authorization": "Bearer secret",
            "Accept": "text/event-stream",
            "Connection": "keep-alive",
        }
        req = CallerRequest("POST", "/x", headers, b"{}", 0.0)
        sent = _request_headers(req, "10.0.0.1:80")
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["Accept"], "text/event-stream")
        self.assertEqual(sent["Content-Length"], "2")

    def test_usage_is_read_from_any_tail(self):
        usage = (
            '{"prompt_tokens": 10, "prompt_tokens_details": {"cached": 1}, '
            '"completion_tokens": 20}'
        )
        tail = f'data: {{"usage": {usage}}}\n\ndata: [DONE]\n\n'
        self.assertEqual(_usage_work(tail.encode()), 50.0)
        for bad in (b"", b'"usage":', b'"usage": null', b'"usage": {"a": 1}'):
            self.assertIsNone(_usage_work(bad))
