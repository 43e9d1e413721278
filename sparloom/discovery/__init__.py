"""The platform's list of runners: polled by one duty holder."""

from .endpoints import Pace, Pages, Runner, RunnerList, RunnerStep, apply_step, read_page, step

__all__ = ["Pace", "Pages", "Runner", "RunnerList", "RunnerStep", "apply_step", "read_page", "step"]
