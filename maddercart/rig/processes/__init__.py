"""Soak tests: real sidecar processes on loopback under faults of clocks, system calls and discovery."""
