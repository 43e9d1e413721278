"""Stand-ins for what a fleet meets: runners, the platform, the operator. For tests and try-outs."""
