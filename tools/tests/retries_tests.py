#!/usr/bin/env python3
"""Tests of the figures that tools/retries takes from log lines."""
import argparse
import importlib.machinery
import importlib.util
import pathlib
import unittest

PATH = str(pathlib.Path(__file__).parents[1] / "retries")
LOADER = importlib.machinery.SourceFileLoader("retries", PATH)
retries = importlib.util.module_from_spec(
    importlib.util.spec_from_loader("retries", LOADER))
LOADER.exec_module(retries)

LIMITS = argparse.Namespace(ratio=0.2, slack=1, window=10)


def retry(time, process, backed, outcome="arrived", unseen_sends=0):
    return time, process, {
        "outcome": outcome, "unseen_sends": unseen_sends,
        "retries_for_requests": backed}


class Retries(unittest.TestCase):
    def test_the_window_with_most_retries_is_named(self):
        """Guards against a window that is cut at whole seconds, and against an
        entry's requests that count once for each of its retries."""
        sent = [retry(0.4, "a", 9), retry(9.5, "a", 10), retry(10.9, "b", 10),
                retry(12, "b", 20, "unseen")]
        text = retries.describe(sent, [9.6, 10, 11, 12, 13], LIMITS)
        self.assertEqual(
            text, "from 9.5 s: 3 retries for 5 requests, 1.50 of 2; "
                  "backed 30, unseen 1, overtaken 0")

    def test_requests_of_the_window_before_count(self):
        """Guards against a service that loses its callers as its retries are
        sent, and looks as if it exceeded its budget."""
        self.assertEqual(
            retries.allowed([1, 2, 3, 4, 5, 12], 11, LIMITS), (5, 2.0))


if __name__ == "__main__":
    unittest.main()
