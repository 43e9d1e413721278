"""Jobs: what clients hand in, where their tasks run, and what is kept of them.

State machines and values without I/O. ``controller.job_service`` carries out
what they decide, and ``router.job_requests`` hands clients' calls to it.
"""
