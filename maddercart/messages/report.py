"""What an upstream says of its load, in a header of its answer: `TEXT inflight=7, queue=2, util=0.61`."""

from maddercart.interface import MILLISECOND, Report

# The figures we have a use for, as the header spells them and as the settings do.
HELD = ("inflight", "active")
WAITING = ("queue", "waiting")
SERVICE = ("latency_ms", "avg_ms")
RATE = ("qps", "rps")


def read_report(text: str) -> Report | None:
    """None if there is nothing in it for us. What can't be read is passed over: a report is only a hint."""
    form, _, rest = text.strip().partition(" ")
    if form != "TEXT":
        return None
    figures = {}
    for part in rest.split(","):
        name, _, value = part.partition("=")
        try:
            figure = float(value)
        except ValueError:
            continue
        if 0 <= figure < 1e12:
            figures[name.strip()] = figure
    held, waiting, service, rate = (
        next((figures[name] for name in names if name in figures), -1.0)
        for names in (HELD, WAITING, SERVICE, RATE)
    )
    if max(held, waiting, service, rate) < 0:
        return None
    return Report(held, waiting, round(service * MILLISECOND) if service >= 0 else -1, rate)
