"""Sidecars with little memory under clients that make them hold much."""

import subprocess
import sys
from pathlib import Path

import pytest

from maddercart.rig.processes.memory_clients import Shape
from maddercart.rig.processes.memory_run import MemoryRunSettings, run_memory
from tests.helpers import sidecar_config

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


GATEWAY_FILE = Path(__file__).parents[2] / "deploy" / "gateway.toml"
PRINT_IMPORTED = """
import runpy, sys
from maddercart.net.loop import Loop
Loop.run = lambda self: print(*sys.modules)
runpy.run_module("maddercart", run_name="__main__")
"""


@pytest.mark.parametrize("command", [("serve", "--config"), ("gateway", "serve")])
def test_a_service_imports_nothing_of_the_other_commands(command: tuple[str, ...], tmp_path: Path) -> None:
    """They held 8 MB for as long as the process ran."""
    gateway = GATEWAY_FILE.read_bytes().replace(b"127.0.0.1:8080", b"127.0.0.1:0")
    (file := tmp_path / "file").write_bytes(gateway if command[0] == "gateway" else sidecar_config([]))
    arguments = [sys.executable, "-c", PRINT_IMPORTED, *command, str(file)]
    done = subprocess.run(arguments, capture_output=True, timeout=20, text=True)
    imported = set(done.stdout.split())
    assert "maddercart.sidecar" in imported, done.stderr
    assert not imported & {"typer", "pydantic", "rich", "maddercart.lab", "maddercart.rig", "maddercart.cli"}
