"""The primary's side of the ledger machine."""

from attrs import define, evolve

from .actions import Confirmed, Decided, Lead, Lost, Send
from .records import Beat, Copy, Data, Full, Yield
from .views import carried, majority, reroster


@define(slots=True)
class Leading:
    """Winning, copying, marking, beating, writing, handing over."""

    def _step_down(self):
        lead, self.lead = self.lead, None
        if lead is None:
            return []
        self.heard = self.now
        return [*([Lost(lead.write)] if lead.write is not None else []), *(Lost(i) for i in lead.reads)]

    def leading(self):
        """Whether this member is the primary of an active view.

        >>> Leading.leading.__name__
        'leading'
        """
        return self.lead is not None and self.lead.phase == "on"

    def sure_since(self, now):
        """How long ago this member was last known to be the primary, or None.

        >>> Leading.sure_since.__name__
        'sure_since'
        """
        return now - self.lead.confirmed if self.leading() and self.lead.confirmed_seq else None

    def _won(self, view):
        self.cand, self.tried = None, 0
        self.lead = Lead(view, [], self.now)
        self.lead.heard = {i: self.now for i in view.ids}
        self.reg = evolve(self.reg, kept=view.epoch)
        self.joiners = {k: v for k, v in self.joiners.items() if k not in view.ids}
        return [*self._copy_out(), *self._lead_tick()]

    def _copy_out(self):
        v, d = self.lead.view, self.data
        self.lead.kept = {}
        self.lead.retry = self.now
        rec = Copy(self.me.id, v, d)
        own = self._save(Send(self.me, _own(self.me.id, v, d)), data=d)
        return [own, *(Send(m, rec) for m in v.roster if m.id in v.backups)]

    def _lead_tick(self):
        ld, sp = self.lead, self.spans
        if ld.phase == "on" and self.now - max(ld.confirmed, ld.began) > sp.patience:
            self.quiet_till = self.now + sp.patience
            return self._step_down()
        if ld.phase != "on" and self.now - ld.began > sp.stuck * 2:
            self.quiet_till = self.now + sp.patience * self.rng.random()
            return self._step_down()
        out = self._beat(False)
        if self.now - ld.retry > sp.resend * 4:
            ld.retry = self.now
            out += self._again()
        return out + (self._mend() if ld.phase == "on" else self._swap())

    def _beat(self, at_once):
        ld = self.lead
        late = any(self._late(i, self.spans.beat * 1.5) for i in ld.view.ids if i != self.me.id)
        if not at_once and self.now - ld.beat_at < (self.spans.beat / 3 if late else self.spans.beat):
            return []
        ld.seq += 1
        ld.beat_at = self.now
        ld.sent = {s: t for s, t in ld.sent.items() if s > ld.seq - 30}
        ld.sent[ld.seq] = self.now
        ld.acks[self.me.id] = ld.seq
        out = [Send(m, Beat(self.me.id, ld.view.epoch, ld.seq)) for m in ld.view.roster if m.id != self.me.id]
        return out + self._confirm()

    def _again(self):
        ld, v = self.lead, self.lead.view
        out = []
        if ld.phase == "copy" or ld.write is not None:
            late = [m for m in v.roster if m.id in v.backups and ld.kept.get(m.id) != self.data.number]
            out += [Send(m, Copy(self.me.id, v, self.data)) for m in late]
        if ld.phase in ("mark", "on"):
            out += [Send(m, Full(self.me.id, v)) for m in v.roster if m.id not in ld.marked]
        return out

    def _late(self, id, span):
        return self.now - self.lead.heard.get(id, self.lead.began) > span

    def _swap(self):
        """A backup that is silent while the view comes up is replaced."""
        ld, sp = self.lead, self.spans
        if ld.phase == "copy" and self.now - ld.began > sp.patience and any(i not in ld.kept for i in ld.view.backups):
            return self._replace([i for i in ld.view.backups if i not in ld.kept])
        return []

    def _replace(self, bad):
        self.sick |= {i: self.now for i in bad}
        up = [
            i
            for i in self.lead.view.ids
            if i != self.me.id and i not in self.sick and not self._late(i, self.spans.patience)
        ]
        if len(up) < min(self.copies, len(self.lead.view.roster) - 1):
            return []
        return self._renew(None)

    def _renew(self, roster):
        old, self.cand = self.lead, None
        out = [Lost(i) for i in old.reads]
        if old.write is not None:
            out.append(Lost(old.write))
        return out + self._candidate(forced=True, roster=roster)

    def _mend(self):
        ld, sp, v = self.lead, self.spans, self.lead.view
        slow = ld.write is not None and self.now - ld.write_at > sp.patience
        if slow and self.me.id not in ld.kept and self.now - ld.write_at > sp.patience * 2:
            return self.sick_disk(self.now)
        bad = [i for i in v.backups if self._late(i, sp.patience) or slow and ld.kept.get(i) != self.data.number]
        if bad:
            out = self._replace(bad)
            if out or not self.lead:
                return out
        self.joiners = {k: j for k, j in self.joiners.items() if self.now - j[1] < sp.dead and k not in v.ids}
        dead = {i for i in v.ids if i != self.me.id and self._late(i, sp.dead)}
        ros = reroster(v, [j for j, _ in self.joiners.values()], dead)
        near = [i for i in v.ids if not self._late(i, sp.patience)]
        if ros and ld.write is None and majority(set(near) | {self.me.id}, [m.id for m in ros]):
            return self._renew(ros)
        return []

    def _beat_ack(self, rec):
        ld = self.lead
        self.top = max(self.top, rec.promised)
        if ld is None or rec.epoch != ld.view.epoch:
            return []
        if rec.promised > ld.view.epoch:
            self.quiet_till = self.now + self.spans.patience
            return self._step_down()
        ld.heard[rec.frm] = self.now
        if rec.ok:
            ld.acks[rec.frm] = max(rec.seq, ld.acks.get(rec.frm, 0))
        elif rec.frm in ld.marked:
            ld.marked.discard(rec.frm)
        return self._confirm()

    def _confirm(self):
        ld = self.lead
        if ld.phase != "on":
            return []
        seqs = sorted((ld.acks.get(i, 0) for i in ld.view.ids), reverse=True)
        sure = seqs[len(seqs) // 2]
        if sure > ld.confirmed_seq:
            ld.confirmed_seq = sure
            ld.confirmed = ld.sent.get(sure, ld.confirmed)
        done = [i for i, s in ld.reads.items() if s <= ld.confirmed_seq]
        for i in done:
            del ld.reads[i]
        return [Confirmed(i) for i in done]

    def _kept(self, rec):
        ld = self.lead
        self.top = max(self.top, rec.promised)
        if ld is None or rec.epoch != ld.view.epoch:
            return []
        ld.heard[rec.frm] = self.now
        if not rec.ok:
            return self._step_down() if rec.promised > ld.view.epoch else []
        ld.kept[rec.frm] = max(rec.number, ld.kept.get(rec.frm, 0))
        if any(ld.kept.get(i) != self.data.number for i in ld.view.holders):
            return []
        if ld.phase == "copy":
            ld.phase, ld.retry = "mark", self.now
            return [Send(m, Full(self.me.id, ld.view)) for m in ld.view.roster]
        if ld.write is not None:
            id, ld.write = ld.write, None
            return [Decided(id, self.data)]
        return []

    def _marked(self, rec):
        ld = self.lead
        self.top = max(self.top, rec.promised)
        if ld is None or rec.epoch != ld.view.epoch:
            return []
        if not rec.ok:
            return self._step_down() if rec.promised > ld.view.epoch else []
        ld.marked.add(rec.frm)
        ld.heard[rec.frm] = self.now
        if ld.phase == "mark" and carried(ld.marked, ld.view, False):
            ld.phase, ld.began = "on", self.now
            return [Decided(0, self.data), *self._beat(True)]
        return []

    def write(self, now, id, revision, blob):
        """Starts a write; None when it can't start here now.

        >>> Leading.write.__name__
        'write'
        """
        self.now = now
        if not self.leading() or self.lead.write is not None:
            return None
        ld = self.lead
        self.data = Data(ld.view.epoch, self.data.number + 1, revision, blob)
        ld.write, ld.write_at = id, now
        return self._copy_out()

    def read(self, now, id):
        """Starts a confirmed read; None when this member does not lead.

        >>> Leading.read.__name__
        'read'
        """
        self.now = now
        if not self.leading():
            return None
        self.lead.reads[id] = self.lead.seq + 1
        return self._beat(True)

    def hand_over(self, now):
        """Names a successor among the backups and stops leading.

        >>> Leading.hand_over.__name__
        'hand_over'
        """
        self.now = now
        if self.lead is None:
            return []
        v = self.lead.view
        near = [i for i in v.backups if not self._late(i, self.spans.patience)]
        self.quiet_till = now + self.spans.patience * 2
        self.beat_epoch = 0
        out = 3 * self._to(near[0], Yield(self.me.id, v.epoch)) if near else []
        return out + self._step_down()


def _own(me, view, data):
    from .records import Kept

    return Kept(me, view.epoch, data.number, True, view.epoch)
