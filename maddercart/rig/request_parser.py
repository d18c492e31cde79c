"""An incremental parser of HTTP requests, for the remote ends of the simulated network."""


class RequestParser:
    """Incremental parser of the HTTP requests on one connection."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[tuple[str, dict[str, str]]]:
        """Returns (request line, headers by lower-case name) for each request that is now complete."""
        self.buffer += data
        requests = []
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            request_line, *header_lines = head.decode("latin-1").split("\r\n")
            fields = [line.partition(":") for line in header_lines]
            headers = {name.lower(): value.strip() for name, _, value in fields}
            length = int(headers.get("content-length", "0"))
            if len(rest) < length:
                break
            self.buffer = rest[length:]
            requests.append((request_line, headers))
        return requests
