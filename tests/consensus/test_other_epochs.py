"""Messages of earlier and later epochs change nothing.

Each test covers one epoch check whose removal no other test detected under mutation testing.
"""

import unittest

from attrs import evolve

from simulator.check import Scope
from simulator.check.starts import ready
from simulator.check.transitions import At
from sparloom.consensus.records import Activated, CopyAck, HeartbeatAck, Released


class AnswersOfOtherEpochs(unittest.TestCase):
    def setUp(self):
        self.state = ready(Scope())
        self.member = self.state.nodes[self.state.primary()].ledger
        self.leadership = self.member.leadership
        self.backup = self.leadership.view.backups[0]

    def counted_answers(self):
        """Returns the answers that the primary has counted so far."""
        leadership = self.leadership
        counted = (leadership.stored, leadership.activated, leadership.committed_by, leadership.acknowledged)
        return [repr(value) for value in (*counted, leadership.last_contact_at, leadership.confirmed_sequence)]

    def test_answers_of_other_epochs_are_ignored(self):
        epoch, number = self.leadership.epoch, self.member.data.number
        for other_epoch in (epoch - 1, epoch + 1):
            answers = (
                CopyAck(self.backup, other_epoch, number + 5, True, other_epoch),
                Activated(self.backup, other_epoch, True, True, other_epoch),
                HeartbeatAck(self.backup, other_epoch, 10**6, True, True, other_epoch),
            )
            for answer in answers:
                with self.subTest(answer):
                    before = self.counted_answers()
                    self.assertEqual(self.leadership.on_ack(answer), [])
                    self.assertEqual(self.counted_answers(), before)

    def test_only_a_rejection_with_a_later_promised_epoch_deposes_the_primary(self):
        epoch = self.leadership.epoch
        self.leadership.on_ack(CopyAck(self.backup, epoch, 0, False, epoch))
        self.assertTrue(self.member.leading())
        self.leadership.on_ack(CopyAck(self.backup, epoch, 0, False, epoch + 1))
        self.assertFalse(self.member.leading())

    def test_heartbeat_rejected_for_a_later_promised_epoch_deposes_the_primary(self):
        epoch = self.leadership.epoch
        self.leadership.on_ack(HeartbeatAck(self.backup, epoch, 1, False, False, epoch + 1))
        self.assertFalse(self.member.leading())


class ReleasesOfEarlierEpochs(unittest.TestCase):
    def test_release_by_a_deposed_primary_is_ignored(self):
        state = ready(Scope())
        name = next(name for name in state.up() if name != state.primary())
        At("leave", name).play(state)
        member = state.nodes[name].ledger
        promised = member.register.promised_epoch
        member.receive(member.now, Released(1, member.member.id, promised - 1))
        self.assertFalse(member.planned_leave.released)
        member.receive(member.now, Released(1, member.member.id, promised))
        self.assertTrue(member.planned_leave.released)


class LearnedViews(unittest.TestCase):
    def test_older_view_does_not_replace_a_newer_one(self):
        state = ready(Scope())
        member = state.nodes[state.primary()].ledger
        member.learn_view(evolve(member.view, epoch=member.view.epoch - 1))
        self.assertIsNone(member.learned_view)
        newer = evolve(member.view, epoch=member.view.epoch + 1)
        member.learn_view(newer)
        self.assertEqual(member.learned_view, newer)


if __name__ == "__main__":
    unittest.main()
