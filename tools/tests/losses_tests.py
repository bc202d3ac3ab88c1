#!/usr/bin/env python3
"""Tests of the counts that tools/losses takes from log lines."""
import importlib.machinery
import importlib.util
import pathlib
import unittest

PATH = str(pathlib.Path(__file__).parents[1] / "losses")
LOADER = importlib.machinery.SourceFileLoader("losses", PATH)
losses = importlib.util.module_from_spec(
    importlib.util.spec_from_loader("losses", LOADER))
LOADER.exec_module(losses)


def refusal(time, fingerprint, after_ms=0):
    return time, {
        "name": "request_refused", "rank": 0, "workspace": "a", "cost_ms": 10,
        "level": 0.5, "fingerprint": fingerprint, "after_ms": after_ms,
        "retry_after_ms": 500}


def answer(first_ms, returned=False):
    return 1.0, {"name": "request_answered", "rank": 1, "workspace": "b",
                 "goal_ms": 400, "first_ms": first_ms, "returned": returned}


def row_of(lines):
    (_, answered, late, refused, _, returned, as_told, cost, _), = (
        losses.ranked_rows(lines, "rank"))
    return answered, late, refused, returned, as_told, cost


class Losses(unittest.TestCase):
    def test_a_return_counts_from_its_arrival(self):
        """Guards against a wait at the entry that makes an early return look
        like one that came as told, and against an order by line."""
        early = [refusal(1.6, 1, after_ms=200), refusal(1.0, 1)]
        self.assertEqual(row_of(early), (0, 0, 2, 1, 0, "20"))
        kept = [refusal(1.0, 1), refusal(1.6, 1, after_ms=140)]
        self.assertEqual(row_of(kept), (0, 0, 2, 1, 1, "20"))

    def test_other_requests_are_no_returns(self):
        """Guards against another request, or the same one long after its
        deadline, that is taken for a return."""
        lines = [refusal(1.0, 1), refusal(1.6, 2), refusal(9.0, 1)]
        self.assertEqual(row_of(lines), (0, 0, 3, 0, 0, "30"))

    def test_late_answers(self):
        """Guards against a request that returned after its goal and counts as
        on time because its last attempt was fast."""
        lines = [answer(400), answer(401), answer(10, returned=True)]
        self.assertEqual(row_of(lines)[:2], (3, 2))

    def test_lines_without_rank_are_left_to_the_other_tables(self):
        """Guards against services without ranked admission in these tables."""
        line = (1.0, "edge-1", {"name": "request_refused", "reason": "r"})
        reasons, _, ranked, _ = losses.collect([line])
        self.assertEqual((reasons[0]["refused: r"], ranked), (1, []))


if __name__ == "__main__":
    unittest.main()
