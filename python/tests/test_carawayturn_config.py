"""Tests of the operators' library."""

import io
import json
import traceback
import unittest

from carawayturn_config import ConfigError, Fleet, key_digest


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.base = self.fleet.model("base", bytes=1000)
        self.chat = self.fleet.model_pool("chat", models=[self.base])

    def expect_error(self, field: str, call) -> None:
        with self.assertRaises(ConfigError) as caught:
            call()
        self.assertEqual(caught.exception.field, field)

    def test_rate_not_positive_names_field(self) -> None:
        self.expect_error(
            "organisations[acme].rate",
            lambda: self.fleet.organisation("acme", rate=0, burst=1),
        )

    def test_adapter_of_missing_model_names_field(self) -> None:
        self.expect_error(
            "adapters[notes].model",
            lambda: self.fleet.adapter("notes", model="absent", bytes=1),
        )

    def test_repeated_name_names_field(self) -> None:
        self.expect_error("models[base].id", lambda: self.fleet.model("base", bytes=1))

    def test_key_of_two_organisations_names_field(self) -> None:
        key = key_digest("secret")
        self.fleet.organisation("acme", rate=1, burst=1, keys=[key])
        self.expect_error(
            "organisations[zeta].key_digests",
            lambda: self.fleet.organisation("zeta", rate=1, burst=1, keys=[key]),
        )

    def test_plain_key_instead_of_digest_is_refused(self) -> None:
        self.expect_error(
            "organisations[acme].key_digests",
            lambda: self.fleet.organisation("acme", rate=1, burst=1, keys=["secret"]),
        )

    def test_error_is_raised_at_operators_line(self) -> None:
        try:
            self.fleet.route("no-slash", pool=self.chat)
        except ConfigError as failure:
            frames = traceback.extract_tb(failure.__traceback__)
            self.assertIn("no-slash", frames[0].line or "")
        else:
            self.fail("no error was raised")

    def test_print_gives_schema_form_without_keys(self) -> None:
        self.fleet.route("/v1/chat", pool=self.chat)
        self.fleet.organisation(
            "acme", rate=5, burst=10, models=["*"], pools=["*"], keys=[key_digest("secret")]
        )
        out = io.StringIO()
        self.fleet.print(out)
        self.assertNotIn("secret", out.getvalue())
        printed = json.loads(out.getvalue())
        self.assertEqual(printed["pools"][0]["models"], ["base"])
        self.assertEqual(printed["routes"][0]["default_deadline_ms"], 60_000)


if __name__ == "__main__":
    unittest.main()
