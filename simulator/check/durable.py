"""A member says only what its disk holds: a promise, a copy and a mark are on disk before they are answered for."""

from functools import singledispatch

from sparloom.consensus import EMPTY, Register
from sparloom.consensus.records import Activated, CopyAck, Promise

from .history import Violation

NOTHING = Register(0, False, 0, [], False, 0)


@singledispatch
def holds(record, register, data):
    """Whether a disk bears out what a record says; records of other kinds claim nothing.

    >>> from sparloom.consensus import EMPTY, Register
    >>> register = Register(1, False, 5, [], False, 0)
    >>> holds(CopyAck(1, 5, 0, True, 5), register, EMPTY), holds(CopyAck(1, 5, 0, False, 5), register, EMPTY)
    (False, True)
    """
    return True


@holds.register
def _(record: Promise, register, data):
    return not record.granted or register.promised_epoch >= record.epoch


@holds.register
def _(record: CopyAck, register, data):
    version = (register.copy_epoch, data.number)
    return not record.accepted or version >= (record.epoch, record.number)


@holds.register
def _(record: Activated, register, data):
    return not record.accepted or register.view_epoch >= record.epoch


def check(name, record, disk):
    """Raises a violation unless the disk of a member bears out what it sends."""
    register, data = disk or (NOTHING, EMPTY)
    if not holds(record, register, data):
        raise Violation(f"{name} sends a {type(record).__name__} that is not on its disk")
