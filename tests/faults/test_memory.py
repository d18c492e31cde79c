"""Sidecars with little memory under clients that make them hold much."""

import pytest

from maddercart.rig.processes.memory_clients import Shape
from maddercart.rig.processes.memory_run import MemoryRunSettings, run_memory

LEAST_MEMORY_MB, MOST_DESCRIPTORS = 32, 1024
SERVED_SHARE = 0.5  # of the usual requests, as on the operators' days


@pytest.mark.parametrize("shapes", [*[(shape,) for shape in Shape], tuple(Shape)], ids=lambda shapes: (
    shapes[0].value if len(shapes) == 1 else "mixed"))  # fmt: skip
def test_memory_stays_under_its_limit_while_usual_requests_are_answered(shapes: tuple[Shape, ...]) -> None:
    """Hundreds of clients that stopped half way, or sent heads of very many fields, passed the limit."""
    result = run_memory(MemoryRunSettings(shapes, LEAST_MEMORY_MB, MOST_DESCRIPTORS, duration_seconds=4.0))
    assert result.exit_code is None, result.log
    assert result.peak_mb <= LEAST_MEMORY_MB, result.describe()
    assert result.usual_unanswered == 0, result.describe()
    assert result.usual_answered >= SERVED_SHARE * result.usual_requests, result.describe()
    assert result.late_errors == 0, result.describe()
