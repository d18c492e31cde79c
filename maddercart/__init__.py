"""A load balancer that runs as a sidecar beside each client process."""

__version__ = "0.1.0"
