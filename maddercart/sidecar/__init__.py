"""The sidecar process: one `Balancer`, and the code that executes its decisions on sockets."""
