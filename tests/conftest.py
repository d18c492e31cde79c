"""Tests that KNOWN-RED.txt lists are not run, and are printed. Each of its entries is a line:

TEST-ID | COMMAND AND SEED | WHAT WAS SEEN | ISSUE
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def entries() -> dict[str, str]:
    """By test id; without its parameters an id stands for all of them."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    listed = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in listed}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = entries()
    red = [item for item in items if item.nodeid in known or item.nodeid.partition("[")[0] in known]
    items[:] = [item for item in items if item not in red]
    if red:
        config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in entries().values():
        terminalreporter.write_line(f"known red, not run: {line}")
