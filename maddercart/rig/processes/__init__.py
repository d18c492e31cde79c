"""Real sidecar processes on loopback among stand-ins; clocks, system calls and discovery are at fault."""
