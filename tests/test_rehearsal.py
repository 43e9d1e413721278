"""The rehearsal tells what held, and also what did not."""
import unittest

from rehearsal import play


class Rehearsal(unittest.TestCase):
    def test_every_story_holds(self):
        for name in play.STORIES:
            self.assertIsNone(play.play(name, 3), name)

    def test_the_same_seed_plays_the_same(self):
        self.assertEqual(play.play("disk-lost", 9), play.play("disk-lost", 9))

    def test_a_claim_that_fails_is_told(self):
        play.STORIES["wrong"] = ("abc", 1, "ms a b c any\n2500 . . . has=9")
        try:
            self.assertIn("2500 ms", play.play("wrong", 1))
        finally:
            del play.STORIES["wrong"]
