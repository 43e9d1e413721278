"""Tests of jobs over the whole way: router, controller, runners."""
