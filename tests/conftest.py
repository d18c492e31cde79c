"""Deselects the tests listed in KNOWN-RED.txt, and prints its entries in the summary. An entry is a line:

TEST-ID | COMMAND AND SEED | WHAT WAS SEEN | ISSUE
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_entries() -> dict[str, str]:
    """Entries by test id. An id without parameters stands for all parameters of the test."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = known_red_entries()
    deselected = [item for item in items if item.nodeid in known or item.nodeid.partition("[")[0] in known]
    items[:] = [item for item in items if item not in deselected]
    if deselected:
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in known_red_entries().values():
        terminalreporter.write_line(f"known red, not run: {line}")
