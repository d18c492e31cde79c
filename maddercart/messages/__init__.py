"""What is said to the sidecar and by it, each message one typed value, read once and written once."""
