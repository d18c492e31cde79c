"""Typed messages that the sidecar reads and writes, with their parsers and encoders."""
