"""Tests of the platform's registrations and request heads."""

import json
import unittest

from chervilwall.errors import CodecError
from configuration import StoreDecoder
from headers import MAX_ID_CHARS, HeaderFormat

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


class LongIdTest(unittest.TestCase):
    """Tests that tables of ids, bounded by number, are bounded in bytes."""

    def decode_request(self, *, request_id="a2", part="5c1e", resumes=""):
        headers = (
            ("Host", "a.example"),
            ("Attempt-Id", request_id),
            ("Prompt-Prefix", f"{part}:60"),
            ("Resumes", resumes),
        )
        return HeaderFormat().decode_request_head("POST", "/x", headers, 0.0)

    def test_no_id_that_a_caller_chooses_is_kept_at_any_length(self):
        for size in (129, 15_000):
            text = "a" * size
            req = self.decode_request(request_id=text, part=text, resumes=text)
            for short in (req.id, req.prompt_parts[0].id, req.resumes):
                self.assertLessEqual(len(short), MAX_ID_CHARS)
            # The target gets what the caller sent.
            self.assertIn(("Attempt-Id", text), req.headers)
            self.assertIn(("Prompt-Prefix", f"{text}:60"), req.headers)

    def test_long_ids_that_differ_stay_different(self):
        texts = ["a" * 15_000, "a" * 14_999 + "b", "a" * 129]
        for field in ("request_id", "part", "resumes"):
            reqs = [self.decode_request(**{field: text}) for text in texts]
            ids = {(r.id, r.prompt_parts[0].id, r.resumes) for r in reqs}
            self.assertEqual(len(ids), len(texts))

    def test_a_response_names_a_long_id_like_its_request(self):
        text = "a" * 15_000
        head = HeaderFormat().decode_response_head(200, (("Attempt-Id", text),))
        self.assertEqual(
            head.request_id, self.decode_request(request_id=text).id
        )

    def test_ids_of_the_usual_length_are_kept_as_they_are(self):
        text = "9c41d07be2a35f68" * 8
        req = self.decode_request(request_id=text, part=text, resumes=text)
        self.assertEqual(
            (req.id, req.prompt_parts[0].id, req.resumes), (text,) * 3
        )


class ColdTargetTest(unittest.TestCase):
    """Tests of what the platform says of cold targets."""

    def decode_head(self, *values, status=200):
        headers = tuple(("Cold-Remaining", value) for value in values)
        return HeaderFormat().decode_response_head(status, headers)

    def test_responses_state_milliseconds(self):
        self.assertEqual(self.decode_head("2500").cold_for_s, 2.5)
        self.assertEqual(self.decode_head(" 0 ").cold_for_s, 0.0)
        self.assertEqual(self.decode_head("-12.5").cold_for_s, 0.0)
        self.assertEqual(self.decode_head("1", "900").cold_for_s, 0.9)

    def test_a_malformed_number_says_nothing(self):
        for value in ("", "soon", "1e3", "nan", "inf", "0x10", "9" * 13):
            with self.subTest(value):
                self.assertIsNone(self.decode_head(value).cold_for_s)
        self.assertIsNone(self.decode_head().cold_for_s)

    def test_another_target_at_the_address_says_nothing(self):
        head = self.decode_head("2500", status=421)
        self.assertIsNone(head.cold_for_s)

    def decode_service(self, **fields):
        config = {
            "version": 1,
            "routes": [],
            "services": [{"name": "svc"} | fields],
        }
        table = StoreDecoder().decode_configuration(json.dumps(config).encode())
        return table.services["svc"]

    def test_services_state_what_cold_targets_tolerate(self):
        service = self.decode_service(cold_start_s=30, cold_per_s=9.3)
        self.assertEqual(
            (service.cold_time_s, service.cold_rate_per_s), (30, 9.3)
        )
        service = self.decode_service()
        self.assertEqual((service.cold_time_s, service.cold_rate_per_s), (0, 0))

    def test_impossible_values_refuse_the_configuration(self):
        for fields in ({"cold_per_s": -1}, {"cold_start_s": "long"}):
            with self.subTest(fields), self.assertRaises(CodecError):
                self.decode_service(**fields)


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
