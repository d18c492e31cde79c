"""Simulated message delays within and between zones."""

from maddercart.interface import MILLISECOND
from maddercart.lab.scenario import Scenario
from maddercart.lab.streams import lognormal_factors, random_stream, uniforms


class Network:
    """Draws message delays in nanoseconds.

    A lost message is retransmitted, so it arrives late. Messages to and from a partitioned zone are not
    handled here: its servers drop them.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        settings, names = scenario.network, [zone.name for zone in scenario.zones]
        self.loss_probability, self.retransmit_timeout_ns = (
            settings.loss,
            int(settings.resend_ms * MILLISECOND),
        )
        configured = settings.delays_ms | {
            "-".join(reversed(pair.split("-"))): milliseconds
            for pair, milliseconds in settings.delays_ms.items()
        }
        self.mean_ms = [
            [
                settings.within_ms
                if source == destination
                else configured.get(f"{source}-{destination}", settings.between_ms)
                for destination in names
            ]
            for source in names
        ]  # fmt: skip
        self.base_delay_ns = [[delay_ms * MILLISECOND for delay_ms in row] for row in self.mean_ms]
        self.jitter_factors = lognormal_factors(random_stream(seed, "network"), settings.jitter)
        self.loss_draws = uniforms(random_stream(seed, "loss"))

    def scale_delays(self, factor: float, zones: list[int]) -> None:
        """Sets the delays of messages into or out of these zones to `factor` times the configured ones."""
        for source, row in enumerate(self.mean_ms):
            for destination, delay_ms in enumerate(row):
                affected = source in zones or destination in zones
                self.base_delay_ns[source][destination] = (
                    delay_ms * MILLISECOND * (factor if affected else 1.0)
                )

    def delay(self, source: int, destination: int) -> int:
        """Draws the delay of one message between two zones, retransmissions included."""
        total = int(self.base_delay_ns[source][destination] * next(self.jitter_factors))
        if self.loss_probability:
            timeout = self.retransmit_timeout_ns
            while next(self.loss_draws) < self.loss_probability and timeout < 64 * self.retransmit_timeout_ns:
                total, timeout = total + timeout, 2 * timeout
        return total
