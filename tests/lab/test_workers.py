"""Workers that are stopped, or die, in the middle of a task."""

import os
import signal
import time
from functools import partial
from multiprocessing import get_context

import pytest

from maddercart.lab.workers import WorkerDiedError, Workers


def test_workers_that_are_stopped_end_at_once_and_leave_nothing_to_wait_for() -> None:
    """Interrupted sweeps waited without end, 4 of 42, for the result of a worker."""
    workers: Workers[None] = Workers(get_context("forkserver"))
    for _ in range(3):
        workers.start(partial(time.sleep, 60))
    processes = list(workers.running.values())
    workers.stop()
    assert not workers.running and not any(process.is_alive() for process in processes)


def test_results_come_as_they_are_ready_and_a_worker_that_dies_is_told() -> None:
    workers: Workers[int | None] = Workers(get_context("forkserver"))
    for number in range(3):
        workers.start(partial(abs, -number))
    results = []
    while workers.running:
        results += workers.next_results()
    assert sorted(map(str, results)) == ["0", "1", "2"]
    workers.start(partial(time.sleep, 60))
    (process,) = workers.running.values()
    assert process.pid is not None
    os.kill(process.pid, signal.SIGKILL)
    with pytest.raises(WorkerDiedError):
        workers.next_results()
