"""Answers of other epochs change nothing: each check by itself, as the command that mutates one at a time found them."""

import unittest

from attrs import evolve

from simulator.check import Scope
from simulator.check.starts import ready
from simulator.check.transitions import At
from sparloom.consensus.records import Activated, CopyAck, HeartbeatAck, Released


class AnswersToThePrimary(unittest.TestCase):
    def setUp(self):
        self.world = ready(Scope())
        self.member = self.world.nodes[self.world.primary()].ledger
        self.leadership = self.member.leadership
        self.backup = self.leadership.view.backups[0]

    def known(self):
        """What the primary has counted so far."""
        leadership = self.leadership
        counted = (leadership.stored, leadership.activated, leadership.committed_by, leadership.acknowledged)
        return [repr(value) for value in (*counted, leadership.last_contact_at, leadership.confirmed_sequence)]

    def test_an_answer_of_another_epoch_counts_for_nothing(self):
        epoch, number = self.leadership.epoch, self.member.data.number
        for other in (epoch - 1, epoch + 1):
            answers = (
                CopyAck(self.backup, other, number + 5, True, other),
                Activated(self.backup, other, True, True, other),
                HeartbeatAck(self.backup, other, 10**6, True, True, other),
            )
            for answer in answers:
                with self.subTest(answer):
                    before = self.known()
                    self.assertEqual(self.leadership.on_ack(answer), [])
                    self.assertEqual(self.known(), before)

    def test_a_rejection_by_a_member_that_promised_no_later_epoch_deposes_nobody(self):
        epoch = self.leadership.epoch
        self.leadership.on_ack(CopyAck(self.backup, epoch, 0, False, epoch))
        self.assertTrue(self.member.leading())
        self.leadership.on_ack(CopyAck(self.backup, epoch, 0, False, epoch + 1))
        self.assertFalse(self.member.leading())

    def test_a_heartbeat_that_a_later_promise_answers_deposes(self):
        epoch = self.leadership.epoch
        self.leadership.on_ack(HeartbeatAck(self.backup, epoch, 1, False, False, epoch + 1))
        self.assertFalse(self.member.leading())


class PlannedLeaves(unittest.TestCase):
    def test_a_primary_that_was_deposed_meanwhile_releases_nobody(self):
        world = ready(Scope())
        name = next(name for name in world.up() if name != world.primary())
        At("leave", name).play(world)
        member = world.nodes[name].ledger
        promised = member.register.promised_epoch
        member.receive(member.now, Released(1, member.member.id, promised - 1))
        self.assertFalse(member.planned_leave.released)
        member.receive(member.now, Released(1, member.member.id, promised))
        self.assertTrue(member.planned_leave.released)


class Views(unittest.TestCase):
    def test_an_older_view_is_not_learnt_over_a_newer_one(self):
        world = ready(Scope())
        member = world.nodes[world.primary()].ledger
        member.learn_view(evolve(member.view, epoch=member.view.epoch - 1))
        self.assertIsNone(member.learned_view)
        newer = evolve(member.view, epoch=member.view.epoch + 1)
        member.learn_view(newer)
        self.assertEqual(member.learned_view, newer)


if __name__ == "__main__":
    unittest.main()
