"""Runs failure timelines written as text: the time in ms, then a column for each node.

    ms    a        b        c
    3000  lead     .        .
    3000  write=5  .        .
    3100  kill     .        .
    6000  .        lead/c   .

A cell holds commands (kill boot wipe cut cut-in cut-out stall flow leave
yield write=N) or assertions about the node (lead idle has=N unwritten=N member
outside), joined by ``+``. The last column, ``any``, holds assertions about the
cluster (leads none has=N) and the commands write=N and heal.
"""

EVENTS = {
    "kill": lambda core, name: core.kill(name),
    "boot": lambda core, name: core.boot(name),
    "wipe": lambda core, name: core.wipe(name),
    "cut": lambda core, name: core.cut(name),
    "cut-in": lambda core, name: core.cut(name, way="in"),
    "cut-out": lambda core, name: core.cut(name, way="out"),
    "stall": lambda core, name: core.stall(name),
    "flow": lambda core, name: core.flow(name),
    "leave": lambda core, name: core.leave(name),
}


def rows(text):
    """Return the column names and the rows of a timeline."""
    table = [line.split() for line in text.strip().splitlines() if line.strip()]
    return table[0][1:], [(int(row[0]), row[1:]) for row in table[1:]]


def play(test, core, text):
    """Run a timeline and check its assertions."""
    names, steps = rows(text)
    for ms, cells in steps:
        core.run(max(0, ms - core.now.total_seconds() * 1000))
        for name, cell in zip(names, cells, strict=False):
            for item in cell.split("+"):
                if item not in (".", "|"):
                    _run_item(test, core, ms, name, item)


def _run_item(test, core, ms, name, item):
    command, _, argument = item.partition("=")
    at = f"at {ms} ms, {name}"
    if name == "any":
        leader = core.leader()
        if command == "leads":
            test.assertIsNotNone(leader, f"{at}: no primary")
        elif command == "none":
            test.assertIsNone(leader, f"{at}: unexpected primary")
        elif command == "has":
            test.assertEqual(core.nodes[leader][0].data.revision if leader else None, int(argument), at)
        elif command == "write":
            test.assertTrue(core.write(int(argument)), f"{at}: write not acknowledged")
        elif command == "heal":
            core.heal()
        else:
            raise ValueError(item)
        return
    member = core.nodes[name][0] if name in core.nodes else None
    if command in EVENTS:
        EVENTS[command](core, name)
        return
    actions = {
        "yield": lambda: core.act(name, member.transfer_leadership(core.now)),
        "write": lambda: test.assertTrue(core.write(int(argument), name), f"{at}: write not acknowledged"),
        "unwritten": lambda: test.assertFalse(
            core.write(int(argument), name, 800), f"{at}: write unexpectedly acknowledged"
        ),
        "lead": lambda: test.assertTrue(member.leading(), f"{at} is not the primary"),
        "idle": lambda: test.assertFalse(member.leading(), f"{at} is unexpectedly the primary"),
        "has": lambda: test.assertEqual(member.data.revision, int(argument), at),
        "member": lambda: test.assertIn(core.members[name].id, core.view().ids, at),
        "outside": lambda: test.assertNotIn(core.members[name].id, core.view().ids, at),
    }
    actions[command]()
