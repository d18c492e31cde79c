"""Adapter that runs the load balancer in the simulator, over its binary protocol."""
