"""Tests of the prompts' parts, as clients that don't behave may send them."""

import unittest

from sparloom.load_balancing.cached_prefixes import CachedPrefixes


class CachedPrefixesTest(unittest.TestCase):
    def test_parts_without_tokens_are_not_kept(self):
        """Regression: they took no capacity, so that none was ever evicted."""
        cached = CachedPrefixes(10)
        for number in range(100):
            cached.add(((number, 0),))
            cached.add_recalled(1000 + number, 0)
        self.assertEqual((cached.used, len(cached.prefixes)), (0, 0))

    def test_a_part_without_tokens_does_not_hide_what_is_cached_behind_it(self):
        cached = CachedPrefixes(10)
        parts = ((1, 0), (2, 6), (3, 0), (4, 3))
        cached.add(parts)
        self.assertEqual(cached.prefill_tokens(parts), 0)
        self.assertEqual(cached.prefill_tokens((*parts, (5, 2))), 2)


if __name__ == "__main__":
    unittest.main()
