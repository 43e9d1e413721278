"""Batch jobs: parsing, scheduling of their tasks on runners, and their stored state.

State machines and values without I/O. ``controller.job_service`` executes
the scheduler's instructions, and ``router.job_requests`` forwards clients'
calls to it.
"""
