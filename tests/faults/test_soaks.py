"""Short seeded soaks; `maddercart soak --count 50` plays longer ones."""

from pathlib import Path

import pytest

from maddercart.rig.processes.soak import run_soak


@pytest.mark.parametrize("seed", [1, 2, 10, 14])
def test_rules_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """2 and 10 lost a request each and 14 sent 30 to draining servers, before the incident was mended."""
    result = run_soak(seed, span=16.0, logs=tmp_path)
    assert result.broken == []
    assert result.answered > result.requests * 0.8, "who refuses all breaks no rule either"
