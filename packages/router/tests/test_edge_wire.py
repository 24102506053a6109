"""Tests of the platform's registrations and request heads."""

import json
import unittest

from chervilwall.errors import CodecError
from configuration import StoreDecoder
from headers import HeaderFormat

REGISTRATION = {
    "backend": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "born": 1,
    "sequence": 1,
}
HEAD = (("Host", "a.example"), ("Attempt-Id", "a2"), ("Last-Event-Id", "4"))


class SoftwareVersionTest(unittest.TestCase):
    def decode(self, **fields):
        value = json.dumps(REGISTRATION | fields).encode()
        return StoreDecoder().decode_registration("i-1", value)

    def test_text_and_whole_numbers_are_versions(self):
        self.assertEqual(self.decode(version="v1.1").version, "v1.1")
        self.assertEqual(self.decode(version=7).version, "7")

    def test_a_registration_without_version_names_no_target(self):
        with self.assertRaises(CodecError):
            self.decode()

    def test_a_version_of_another_type_names_no_target(self):
        for version in (None, ["v1"], {"v": 1}, True, 1.5):
            with self.subTest(version=version), self.assertRaises(CodecError):
                self.decode(version=version)


class ResumedStreamTest(unittest.TestCase):
    def decode(self, *headers):
        return HeaderFormat().decode_request_head(
            "POST", "/draft/x", HEAD + headers, 0.0
        )

    def test_the_attempt_that_began_the_stream_is_decoded(self):
        self.assertEqual(self.decode(("Resumes", " a1 ")).resumes, "a1")
        self.assertEqual(self.decode().resumes, "")

    def test_targets_get_the_header_as_the_caller_sent_it(self):
        self.assertIn(("Resumes", "a1"), self.decode(("Resumes", "a1")).headers)
