"""Load reports of upstreams, a response header of the form `TEXT inflight=7, queue=2, util=0.61`."""

from maddercart.interface import MILLISECOND, Report

# Names of the metrics in use: first as in the header, then as in the settings.
IN_FLIGHT_NAMES = ("inflight", "active")
QUEUED_NAMES = ("queue", "waiting")
SERVICE_TIME_NAMES = ("latency_ms", "avg_ms")
REQUEST_RATE_NAMES = ("qps", "rps")


def parse_load_report(text: str) -> Report | None:
    """Returns None if the report has no metric in use.

    Invalid parts are ignored, since a report is only a hint.
    """
    format_name, _, metrics = text.strip().partition(" ")
    if format_name != "TEXT":
        return None
    values_by_name = {}
    for part in metrics.split(","):
        name, _, value = part.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < 1e12:
            values_by_name[name.strip()] = number
    in_flight, queued, service_time_ms, request_rate = (
        next((values_by_name[name] for name in names if name in values_by_name), -1.0)
        for names in (IN_FLIGHT_NAMES, QUEUED_NAMES, SERVICE_TIME_NAMES, REQUEST_RATE_NAMES)
    )
    if max(in_flight, queued, service_time_ms, request_rate) < 0:
        return None
    return Report(
        in_flight,
        queued,
        round(service_time_ms * MILLISECOND) if service_time_ms >= 0 else -1,
        request_rate,
    )
