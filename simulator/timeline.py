"""Timelines as text: the time in ms, then a column for each node.

    ms    a        b        c
    3000  lead     .        .
    3000  write=5  .        .
    3100  kill     .        .
    6000  .        lead/c   .

A cell holds commands (kill boot wipe cut cut-in cut-out heal stall flow
write=N leave yield) or claims (lead, idle, has=N, up). ``any`` as the last column
takes claims about the whole: leads, has=N, none.
"""

EVENTS = {
    "kill": lambda core, n: core.kill(n),
    "boot": lambda core, n: core.boot(n),
    "wipe": lambda core, n: core.wipe(n),
    "cut": lambda core, n: core.cut(n),
    "cut-in": lambda core, n: core.cut(n, way="in"),
    "cut-out": lambda core, n: core.cut(n, way="out"),
    "stall": lambda core, n: core.stall(n),
    "flow": lambda core, n: core.flow(n),
    "leave": lambda core, n: core.leave(n),
}


def rows(text):
    """The head and the rows of a timeline."""
    lines = [ln.split() for ln in text.strip().splitlines() if ln.strip()]
    return lines[0][1:], [(int(ln[0]), ln[1:]) for ln in lines[1:]]


def play(test, core, text):
    """Plays a timeline and checks its claims."""
    head, todo = rows(text)
    for ms, cells in todo:
        core.run(max(0, ms - core.now.total_seconds() * 1000))
        for n, cell in zip(head, cells, strict=False):
            for word in cell.split("+"):
                if word not in (".", "|"):
                    _do(test, core, ms, n, word)


def _do(test, core, ms, n, word):
    cmd, _, arg = word.partition("=")
    at = f"at {ms} ms, {n}"
    if n == "any":
        lead = core.leader()
        if cmd == "leads":
            test.assertIsNotNone(lead, f"{at}: somebody leads")
        elif cmd == "none":
            test.assertIsNone(lead, f"{at}: nobody leads")
        elif cmd == "has":
            test.assertEqual(core.nodes[lead][0].data.revision if lead else None, int(arg), at)
        elif cmd == "write":
            test.assertTrue(core.write(int(arg)), f"{at}: acknowledged")
        elif cmd == "heal":
            core.heal()
        else:
            raise ValueError(word)
        return
    led = core.nodes[n][0] if n in core.nodes else None
    if cmd in EVENTS:
        EVENTS[cmd](core, n)
        return
    acts = {
        "yield": lambda: core.act(n, led.transfer_leadership(core.now)),
        "write": lambda: test.assertTrue(core.write(int(arg), n), f"{at}: acknowledged"),
        "unwritten": lambda: test.assertFalse(core.write(int(arg), n, 800), f"{at}: must not acknowledge"),
        "lead": lambda: test.assertTrue(led.leading(), f"{at} leads"),
        "idle": lambda: test.assertFalse(led.leading(), f"{at} does not lead"),
        "has": lambda: test.assertEqual(led.data.revision, int(arg), at),
        "member": lambda: test.assertIn(core.members[n].id, core.view().ids, at),
        "outside": lambda: test.assertNotIn(core.members[n].id, core.view().ids, at),
    }
    acts[cmd]()
