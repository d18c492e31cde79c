"""The real sidecar: one `Balancer`, and what carries its decisions out on sockets."""
