"""sparloom: a router fleet for a language model.

Two programs, ``sparloom.router`` (data plane) and ``sparloom.controller``
(control plane), stand on a workspace of small libraries, each a package beside
them. ``docs/architecture.md`` lists the packages from bottom to top.

>>> from sparloom.configuration import Configuration
"""

__version__ = "0.1.0"
