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


def retry(time, vm, backed, outcome="arrived", held_sends=0, start=1):
    return retries.Retry(time, retries.Process(vm, start), {
        "outcome": outcome, "held_sends": held_sends,
        "retries_for_requests": backed})


def settled(vm, sent_ago_ms, backed):
    return vm, {"name": "retry_settled", "service": "s",
                "sent_ago_ms": sent_ago_ms, "outcome": "arrived",
                "held_sends": 0, "retries_for_requests": backed}


class Retries(unittest.TestCase):
    def test_the_window_with_most_retries_is_named(self):
        """Guards against a window that is cut at whole seconds, and against an
        entry's requests that count once for each of its retries."""
        sent = [retry(0.4, "a", 9), retry(9.5, "a", 10), retry(10.9, "b", 10),
                retry(12, "b", 20, "unseen")]
        text = retries.describe(sent, [9.6, 10, 11, 12, 13], LIMITS)
        self.assertEqual(
            text, "from 9.5 s: 3 retries for 5 requests, 1.50 of 2; "
                  "backed 30 by 2 processes, unseen 1, overtaken 0, draining 0")

    def test_a_process_and_its_successor_are_two(self):
        """Guards against requests of a process that stopped, which backed its
        retries, left out as those of its successor on the same VM replace them,
        and against retries sent in its drain that look like any other."""
        lines = [(0, "a", {"name": "process_started"}),
                 (1, *settled("a", 500, 40)),
                 (2, "a", {"name": "process_stopping"}),
                 (3, *settled("a", 500, 50)),
                 (4, "a", {"name": "process_started"}),
                 (5, *settled("a", 500, 10))]
        sent, _ = retries.collect(lines)
        text = retries.describe(sent["s"], [1, 2, 3, 4, 4.5], LIMITS)
        self.assertEqual(
            text, "from 0.5 s: 3 retries for 5 requests, 1.50 of 2; "
                  "backed 60 by 2 processes, unseen 0, overtaken 0, draining 1")

    def test_requests_of_the_window_before_count(self):
        """Guards against a service that loses its callers as its retries are
        sent, and looks as if it exceeded its budget."""
        self.assertEqual(
            retries.allowed([1, 2, 3, 4, 5, 12], 11, LIMITS), (5, 2.0))


if __name__ == "__main__":
    unittest.main()
