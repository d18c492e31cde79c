"""Worker processes that run one task each, and can be stopped at any time.

A pool of the standard library can wait without end when it is interrupted: workers that are terminated may
hold the locks of the queues that they share, and the pool starts others in their place. Here each worker has
a pipe of its own.
"""

from collections.abc import Callable
from multiprocessing.connection import Connection, wait
from multiprocessing.context import ForkServerContext, ForkServerProcess
from typing import Generic, TypeVar

Result = TypeVar("Result")


class WorkerDiedError(RuntimeError):
    """A worker ended without a result."""


def run_task(task: Callable[[], Result], results: Connection) -> None:
    results.send(task())


class Workers(Generic[Result]):
    """The workers that run now, by the pipe on which the result of each comes."""

    def __init__(self, context: ForkServerContext) -> None:
        self.context = context
        self.running: dict[Connection, ForkServerProcess] = {}

    def start(self, task: Callable[[], Result]) -> None:
        """Starts a worker for a task, which must be picklable, as its result must."""
        receiver, sender = self.context.Pipe(duplex=False)
        process = self.context.Process(target=run_task, args=(task, sender), daemon=True)
        process.start()
        sender.close()
        self.running[receiver] = process

    def next_results(self) -> list[Result]:
        """Waits for at least one worker and returns the results that are there.

        Raises `WorkerDiedError`.
        """
        results = []
        for receiver in wait(list(self.running)):
            assert isinstance(receiver, Connection)
            process = self.running.pop(receiver)
            try:
                results.append(receiver.recv())
            except EOFError as error:
                process.join()
                raise WorkerDiedError(f"a worker ended with {process.exitcode}") from error
            process.join()
            receiver.close()
        return results

    def stop(self) -> None:
        """Ends all workers at once; their results are lost."""
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.join()
        self.running.clear()
