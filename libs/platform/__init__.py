"""The platform's list of runners: polled by one duty holder."""
from .list import Pages, Pace, Runner, RunnerList, read_page

__all__ = ["Pace", "Pages", "Runner", "RunnerList", "read_page"]
