"""End-to-end tests of jobs: router, controller and runners."""
