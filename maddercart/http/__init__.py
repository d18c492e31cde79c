"""HTTP/1.1 as sans-I/O state machines on h11: bytes in, events and bytes out."""
