"""Starts the programs quickly: early listening sockets, and modules from a byte-code archive."""
