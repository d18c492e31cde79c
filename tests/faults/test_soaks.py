"""Short soak tests with fixed seeds; `maddercart soak --count 50` runs longer ones."""

from pathlib import Path

import pytest

from maddercart.rig.processes.soak import run_soak


@pytest.mark.parametrize("seed", [1, 2, 10, 14])
def test_rules_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Before the fix, seeds 2 and 10 lost a request each, and seed 14 sent 30 to draining servers."""
    result = run_soak(seed, duration_seconds=16.0, log_folder=tmp_path)
    assert result.violations == []
    assert result.answered > result.requests * 0.8, (
        "a sidecar that rejects all requests would also break no rule"
    )
