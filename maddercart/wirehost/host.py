"""Translates events of the simulator into calls on load balancers, and their decisions into actions."""

import gc
from typing import BinaryIO

from maddercart.balancer_settings import balancer_arguments
from maddercart.interface import DONE, SECOND, Decision, ListEntry, Report
from maddercart.policy.balancer import Balancer
from maddercart.wirehost import frames
from maddercart.wirehost.settings import read_settings, report_order

MICROSECOND_NS = 1000


class FrameError(ValueError):
    """The input is not a valid frame of the simulator's protocol."""


def to_seconds(nanoseconds: int) -> float:
    """Rounds up to whole microseconds, so that no timer fires early."""
    return -(-nanoseconds // MICROSECOND_NS) / 1e6


class WireHost:
    """Holds the load balancer instances of one connection to the simulator."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.report_orders: dict[int, tuple[int, ...]] = {}  # by instance, see `report_order`
        self.inventories: dict[int, list[ListEntry]] = {}  # upstream lists by their number
        self.actions: list[bytes] = []
        self.tail = bytearray()  # texts that the actions of this reply refer to

    def serve(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Processes batches until the end of `source`. Raises `FrameError` or `SettingsError`."""
        while header := source.read(frames.BATCH.size):
            if len(header) < frames.BATCH.size:
                raise FrameError(f"batch header cut short: {len(header)} of {frames.BATCH.size} bytes")
            clock, length, records = frames.BATCH.unpack(header)
            body = source.read(length)
            if len(body) < length or length < records * frames.EVENT_SIZE:
                raise FrameError(f"batch at clock {clock}: {records} records do not fit {len(body)} bytes")
            sink.write(self.process_batch(round(clock * SECOND), body, records))
            sink.flush()

    def process_batch(self, now: int, body: bytes, records: int) -> bytes:
        self.actions.clear()
        self.tail.clear()
        tail_offset = records * frames.EVENT_SIZE
        for offset in range(0, tail_offset, frames.EVENT_SIZE):
            code, instance = frames.HEAD.unpack_from(body, offset)
            if code == frames.INVENTORY:
                self.read_inventory(body, offset, tail_offset)
                continue
            if code == frames.DETACH:
                self.balancers.pop(instance, None)
                continue
            if code == frames.POWER_ON:
                self.start_instance(now, instance, body, offset, tail_offset)
                continue
            balancer = self.balancers.get(instance)
            if balancer is None:
                raise FrameError(
                    f"record {offset // frames.EVENT_SIZE}: instance {instance} was never started"
                )
            try:
                self.handle_event(balancer, now, code, instance, body, offset)
                while (decision := balancer.next_decision(now)) is not None:
                    self.write_action(instance, decision)
            except FrameError:
                raise
            except Exception as error:
                self.write_text(frames.FAULT, instance, f"{type(error).__name__}: {error}")
        payload = b"".join(self.actions) + self.tail
        return frames.REPLY.pack(len(self.actions), len(payload)) + payload

    def start_instance(self, now: int, instance: int, body: bytes, offset: int, tail_offset: int) -> None:
        seed, settings_offset, length = frames.POWER_ON_BODY.unpack_from(body, offset)
        settings = read_settings(self.tail_slice(body, tail_offset + settings_offset, length).decode())
        self.report_orders[instance] = report_order(settings)
        self.balancers[instance] = Balancer(now, seed, **balancer_arguments(settings))

    def handle_event(
        self, balancer: Balancer, now: int, code: int, instance: int, body: bytes, offset: int
    ) -> None:
        if code == frames.COMPLETED:
            query, upstream, duration, ended, number, outcome, value_count, *values = (
                frames.COMPLETED_BODY.unpack_from(body, offset)
            )
            report = self.make_report(instance, value_count, values) if value_count else None
            balancer.dispatch_ended(
                now, query, upstream, number, round(duration * SECOND), outcome, ended != 0, report
            )
        elif code == frames.DEMAND:
            query, _, remaining, offering, marks, party, _ = frames.DEMAND_BODY.unpack_from(body, offset)
            repeated = marks & frames.REPEATED != 0
            balancer.take_query(now, query, offering, round(remaining * SECOND), 0, party, repeated)
        elif code == frames.TIMEOUT_FIRED:
            balancer.timer_fired(now)
        elif code == frames.HEALTH_RESULT:
            upstream, status, duration, value_count, *values = frames.HEALTH_RESULT_BODY.unpack_from(
                body, offset
            )
            report = self.make_report(instance, value_count, values) if value_count else None
            balancer.probe_ended(now, upstream, status == DONE, round(duration * SECOND), report)
        elif code == frames.VANISHED:
            balancer.client_left(now, frames.VANISHED_BODY.unpack_from(body, offset)[0])
        elif code == frames.TOPOLOGY:
            kind, _, number = frames.TOPOLOGY_BODY.unpack_from(body, offset)
            if kind == 3:  # the subscription failed; otherwise 0: changes, else a full list
                balancer.list_failed(now)
            elif number not in self.inventories:
                raise FrameError(f"record {offset // frames.EVENT_SIZE}: inventory {number} was never sent")
            else:
                balancer.update_list(now, self.inventories[number], kind != 0)
        elif code not in (frames.PEER, frames.FIRST):  # peer messages and client streams are ignored
            raise FrameError(f"record {offset // frames.EVENT_SIZE}: event code {code} is unknown")

    def make_report(self, instance: int, value_count: int, values: list[float]) -> Report:
        metrics = [-1.0, -1.0, -1.0, -1.0]  # in flight, queued, service time in ms, requests per second
        for index, value in zip(self.report_orders[instance], values[:value_count], strict=False):
            if index >= 0:
                metrics[index] = value
        service_time_ms = metrics[2]
        return Report(
            metrics[0], metrics[1], round(service_time_ms * 1e6) if service_time_ms >= 0 else -1, metrics[3]
        )

    def read_inventory(self, body: bytes, offset: int, tail_offset: int) -> None:
        number, entries_offset, count = frames.INVENTORY_BODY.unpack_from(body, offset)
        entries = self.tail_slice(body, tail_offset + entries_offset, count * frames.ENTRY.size)
        self.inventories[number] = [
            ListEntry(upstream, zone, kind, cell, condition, size, round(launched * SECOND))
            for upstream, zone, kind, cell, condition, size, launched in frames.ENTRY.iter_unpack(entries)
        ]

    @staticmethod
    def tail_slice(body: bytes, start: int, length: int) -> bytes:
        if start + length > len(body):
            raise FrameError(f"tail cut short: {length} bytes at {start} of {len(body)}")
        return body[start : start + length]

    def write_action(self, instance: int, decision: Decision) -> None:
        append = self.actions.append
        match decision:
            case ("dispatch", int(query), int(upstream), int(limit)):
                append(
                    frames.HAND_OFF_ACTION.pack(frames.HAND_OFF, instance, query, upstream, to_seconds(limit))
                )
            case ("wake", int(after)):
                append(frames.SET_TIMER_ACTION.pack(frames.SET_TIMER, instance, to_seconds(after), 0))
            case ("bounce", int(query), int(after)):
                append(frames.REFUSE_ACTION.pack(frames.REFUSE, instance, query, to_seconds(after)))
            case ("abort", int(query)):
                append(frames.GIVE_UP_ACTION.pack(frames.GIVE_UP, instance, query))
            case ("cancel", int(query), int(number)):
                append(frames.ABORT_ATTEMPT_ACTION.pack(frames.ABORT_ATTEMPT, instance, query, number))
            case ("probe", int(upstream)):
                append(frames.POLL_ACTION.pack(frames.POLL, instance, upstream))
            case ("follow",):
                append(frames.FOLLOW_ACTION.pack(frames.FOLLOW, instance, 1))
            case ("note", str(text)):
                self.write_text(frames.RECORD, instance, text)
            case _:
                raise TypeError(f"unknown decision {decision!r}")

    def write_text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.actions.append(frames.RECORD_ACTION.pack(code, instance, len(self.tail), len(data)))
        self.tail += data


gc.freeze()
