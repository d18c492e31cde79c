"""maddercart: a load balancer of which every client process has its own copy."""

__version__ = "0.1.0"
