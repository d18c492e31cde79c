"""HTTP/1.1 as state machines on h11 that are fed bytes and know no socket."""
