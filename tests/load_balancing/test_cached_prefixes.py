"""Tests of the prompts' parts, as clients that don't behave may send them."""

import unittest
from hashlib import blake2b

from sparloom.discovery import Endpoint
from sparloom.load_balancing.cached_prefixes import MAXIMUM_PARTS, CachedPrefixes, parse_parts
from sparloom.router.backends import BackendTable


class CachedPrefixesTest(unittest.TestCase):
    def test_parts_without_tokens_are_not_kept(self):
        """Regression: they took no capacity, so that none was ever evicted."""
        cached = CachedPrefixes(10)
        for number in range(100):
            cached.add(((number, 0),))
            cached.add_recalled(1000 + number, 0)
        self.assertEqual((cached.used, len(cached.prefixes)), (0, 0))

    def test_short_parts_are_bounded_by_their_number(self):
        """Regression: a runner's cache of 443,888 tokens was as many parts of one token."""
        cached = CachedPrefixes(1000, maximum_parts=3)
        for number in range(10):
            cached.add(((number, 1),))
        cached.add_recalled(99, 1)
        self.assertEqual((list(cached.prefixes), cached.used), ([7, 8, 9], 3))

    def test_all_runners_together_keep_no_more_parts_than_a_process_may(self):
        endpoints = [Endpoint(f"i-{number}", "s", f"h:{number}", "z", 8, False, 0) for number in range(12)]
        table = BackendTable().updated(endpoints, lambda service: 443_888)
        parts = [backend.cached.maximum_parts for backend in table.by_id.values()]
        self.assertLessEqual(sum(parts), MAXIMUM_PARTS)
        self.assertGreater(min(parts), 10_000)

    def test_a_part_without_tokens_does_not_hide_what_is_cached_behind_it(self):
        cached = CachedPrefixes(10)
        parts = ((1, 0), (2, 6), (3, 0), (4, 3))
        cached.add(parts)
        self.assertEqual(cached.prefill_tokens(parts), 0)
        self.assertEqual(cached.prefill_tokens((*parts, (5, 2))), 2)

    def test_a_prefix_is_identified_by_the_hash_of_its_joined_ids(self):
        for key in (b"", b"k"):
            digests = [blake2b(prefix, digest_size=8, key=key).digest() for prefix in (b"a", b"a,b", b"a,b,c")]
            expected = [(int.from_bytes(digest), tokens) for digest, tokens in zip(digests, (3, 4, 5), strict=True)]
            self.assertEqual(list(parse_parts("a:3, b:4,c:5", key)), expected)

    def test_numbers_that_can_not_be_read_are_no_prompt(self):
        """Regression: digits of other scripts, very long numbers and bytes that are no UTF-8 raised an exception."""
        for text in ("a:²", "a:٣", "a:" + "9" * 5000, "a:-1", "a:"):
            self.assertEqual(parse_parts(text), ())
        self.assertEqual(len(parse_parts("\udcff:1")), 1)


if __name__ == "__main__":
    unittest.main()
