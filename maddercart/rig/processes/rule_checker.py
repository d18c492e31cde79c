"""Checks a soak against the operators' rules by what clients, upstreams and discovery services recorded.

It shares no code with the sidecar: when a change counts as told to a sidecar, and each bound, is stated here
as the operators' documentation has it.
"""

from collections import defaultdict

from maddercart.rig.processes.clients import LATE_RESPONSE_SECONDS, ClientRequest
from maddercart.rig.processes.fake_upstreams import Attempt
from maddercart.rig.processes.fault_schedule import ProcessRun, SoakRecord
from maddercart.rig.processes.sidecar_group import SidecarGroup
from maddercart.rig.processes.sidecar_process import STOP_SENDING_WITHIN_SECONDS

# A sidecar may take 0.15 s from reading its clock to the write, and the sockets 0.05 s.
SEND_DELAY_SECONDS = 0.15 + 0.05
TOLD_WITHIN_SECONDS = 6.0  # after a change of the list, if discovery can be reached
DISCONNECT_NOTICE_SECONDS = 0.1 + 0.05  # after its client has disconnected, an attempt may still begin
DEADLINE_TOLERANCE_SECONDS = 0.15
# So early an attempt may be stamped: the system counts the age of data in ticks of 10 ms at most.
STAMP_ERROR_SECONDS = 0.01
NEVER = float("inf")


class RuleChecker:
    """Finds the violations of the rules in one soak. All instants are monotonic seconds."""

    def __init__(self, group: SidecarGroup, record: SoakRecord) -> None:
        self.group, self.record = group, record

    def violations(self) -> list[str]:
        """One line for each violation."""
        return [
            *self.lost_requests(),
            *self.duplicates(),
            *self.attempts_after_drains(),
            *self.ill_timed_attempts(),
            *self.crashes(),
        ]

    def crashes(self) -> list[str]:
        codes = [code for code in self.record.exit_codes if code != 0]
        codes += [code for sidecar in self.group.sidecars for code in sidecar.crash_exit_codes]
        return [f"crash: a sidecar ended with {code}" for code in codes]

    # -- requests

    def lost_by_kill(self, request: ClientRequest) -> bool:
        """Whether the sidecar was killed while it held the request."""
        ended_at = request.responded_at or request.sent_at + request.timeout_seconds + 1
        runs = [run for run in self.record.runs if run.sidecar == request.sidecar and run.killed]
        return any(request.sent_at - 0.1 <= run.ended_at <= ended_at for run in runs)

    def lost_requests(self) -> list[str]:
        lost = [
            request
            for request in self.group.requests
            if request.loss_reason and not self.lost_by_kill(request)
        ]
        return [
            f"lost: {request.trace_id} at {request.sidecar}, {request.sent_at:.3f}: {request.loss_reason}; "
            f"{self.describe_stalls(request)}"
            for request in lost
        ]

    def describe_stalls(self, request: ClientRequest) -> str:
        """Whether the soak's own process stalled while the request was out."""
        until = request.sent_at + request.timeout_seconds + LATE_RESPONSE_SECONDS
        return self.group.stall_monitor.describe_within(request.sent_at, until)

    def duplicates(self) -> list[str]:
        """Requests of the offering `once` that ran more than once."""
        runs: dict[str, int] = defaultdict(int)
        for attempt in self.group.attempts:
            runs[attempt.trace_id] += attempt.ran
        once = {request.trace_id for request in self.group.requests if request.offering == "once"}
        return [
            f"duplicate: {trace_id} ran {runs[trace_id]} times"
            for trace_id in sorted(once)
            if runs[trace_id] > 1
        ]

    def ill_timed_attempts(self) -> list[str]:
        """Attempts that began after their client had disconnected, or with more time than it has left."""
        requests = {request.trace_id: request for request in self.group.requests}
        violations = []
        for attempt in self.group.attempts:
            if (last_try := requests.get(attempt.trace_id)) is None:
                continue
            request = last_try.try_at(attempt.first_byte_at)
            if (
                request.disconnected_at
                and attempt.first_byte_at > request.disconnected_at + DISCONNECT_NOTICE_SECONDS
            ):
                late = attempt.first_byte_at - request.disconnected_at
                violations.append(f"lost: {request.trace_id} was begun {late:.3f} s after its client left")
            left = request.sent_at + request.timeout_seconds - attempt.first_byte_at
            if attempt.expires_in > left + DEADLINE_TOLERANCE_SECONDS:
                stalls = self.group.stall_monitor.describe_within(request.sent_at, attempt.first_byte_at)
                violations.append(
                    f"deadline: {request.trace_id} was told {attempt.expires_in:.3f} s of {left:.3f}, at "
                    f"{attempt.first_byte_at:.3f}, sent {request.sent_at:.3f} with "
                    f"{request.timeout_seconds:.3f} s; {stalls}"
                )
        return violations

    # -- drains

    def attempts_after_drains(self) -> list[str]:
        """Attempts that went to a draining or deleted upstream after the grace time was over."""
        violations = []
        for attempt in self.group.attempts:
            sequence = self.removed_in(attempt)
            run = self.run_of(attempt)
            if sequence is None or run is None:
                continue
            late = attempt.first_byte_at - self.told_at(run, sequence)
            if late > STOP_SENDING_WITHIN_SECONDS + SEND_DELAY_SECONDS:
                where = f"{attempt.host} from {attempt.sidecar} at {attempt.first_byte_at:.3f}"
                violations.append(f"drain: {attempt.trace_id} to {where}, {late:.3f} s after it was told")
        return violations

    def removed_in(self, attempt: Attempt) -> int | None:
        """The version that took the attempt's upstream out of service, None if it was serving."""
        removed_in: int | None = None
        for version in self.group.registry.versions:
            if version.made_at > attempt.first_byte_at + STAMP_ERROR_SECONDS:
                break
            for entry in version.entries:
                if entry["host"] == attempt.host:
                    serving = entry["health"] == "SERVING"
                    removed_in = None if serving else version.sequence if removed_in is None else removed_in
        return removed_in

    def run_of(self, attempt: Attempt) -> ProcessRun | None:
        """The process that sent the attempt, None if its sidecar had not been started."""
        runs = [run for run in self.record.runs if run.sidecar == attempt.sidecar]
        first_byte_at = attempt.first_byte_at
        return next((run for run in reversed(runs) if run.started_at <= first_byte_at), None)

    def told_at(self, run: ProcessRun, sequence: int) -> float:
        """When a version counts as told to a process, `NEVER` if it does not.

        That is when a service wrote it to the sidecar, or at the latest 6 s after the sidecar could have
        fetched it from a service that went on answering all that time.
        """
        made_at = self.group.registry.versions[sequence].made_at
        told_at = NEVER
        for use in [use for use in self.record.service_uses if use.sidecar == run.sidecar]:
            write_times = [written_at for written_at, written in use.service.writes if written >= sequence]
            told_at = min(
                [told_at, *(instant for instant in write_times if run.started_at <= instant <= run.ended_at)]
            )
            available_from = max(made_at, use.since, run.started_at)
            for healthy_from, healthy_until in use.service.healthy_spans():
                reachable_at = max(available_from, healthy_from)
                if reachable_at + TOLD_WITHIN_SECONDS <= min(healthy_until, use.until):
                    told_at = min(told_at, reachable_at + TOLD_WITHIN_SECONDS)
        return told_at
