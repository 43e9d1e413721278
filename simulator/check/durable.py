"""Checks that a member acknowledges a promise, a copy or an activated view only after it is on its disk."""

from functools import singledispatch

from sparloom.consensus import EMPTY, Register
from sparloom.consensus.records import Activated, CopyAck, Promise

from .history import Violation

EMPTY_REGISTER = Register(0, False, 0, [], False, 0)


@singledispatch
def is_durable(record, register, data):
    """Whether the disk contains what a record acknowledges; records of other types acknowledge nothing.

    >>> from sparloom.consensus import EMPTY, Register
    >>> register = Register(1, False, 5, [], False, 0)
    >>> is_durable(CopyAck(1, 5, 0, True, 5), register, EMPTY), is_durable(CopyAck(1, 5, 0, False, 5), register, EMPTY)
    (False, True)
    """
    return True


@is_durable.register
def _(record: Promise, register, data):
    return not record.granted or register.promised_epoch >= record.epoch


@is_durable.register
def _(record: CopyAck, register, data):
    version = (register.copy_epoch, data.number)
    return not record.accepted or version >= (record.epoch, record.number)


@is_durable.register
def _(record: Activated, register, data):
    return not record.accepted or register.view_epoch >= record.epoch


def check(name, record, disk):
    """Raise a violation unless the disk of a member contains what the record acknowledges."""
    register, data = disk or (EMPTY_REGISTER, EMPTY)
    if not is_durable(record, register, data):
        raise Violation(f"{name} sends a {type(record).__name__} before its content is on disk")
