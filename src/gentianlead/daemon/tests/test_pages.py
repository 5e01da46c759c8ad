"""Tests that `docs/promises.md` agrees with the code."""

import pathlib
import re
import unittest

_GUARANTEES_PAGE = pathlib.Path(
    __file__).resolve().parents[4] / "docs" / "promises.md"
_TEST_MODULE_PREFIX = "gentianlead.daemon.tests."
_TEST_NAME_PATTERN = re.compile(
    r"`((?:gentianlead\.)?(?:\w+\.)*test_\w+\.[A-Z]\w+"
    r"(?:\.test_\w+)?)`")


class PromisesPageTest(unittest.TestCase):
    """Checks the table that names the tests of each guarantee."""

    def test_named_tests_exist(self) -> None:
        """Guards against a named test that was renamed or removed."""
        page_text = _GUARANTEES_PAGE.read_text(encoding="utf-8")
        guarantee_numbers = re.findall(r"^\| (\d+)\. ", page_text, re.MULTILINE)
        self.assertEqual(guarantee_numbers,
                         [str(number) for number in range(1, 11)])
        test_names = set(_TEST_NAME_PATTERN.findall(page_text))
        self.assertTrue(test_names)
        loader = unittest.TestLoader()
        for name in sorted(test_names):
            with self.subTest(name):
                full_name = name if name.startswith("gentianlead.") else (
                    _TEST_MODULE_PREFIX + name)
                suite = loader.loadTestsFromName(full_name)
                self.assertGreaterEqual(suite.countTestCases(), 1)
                self.assertEqual(loader.errors, [])
