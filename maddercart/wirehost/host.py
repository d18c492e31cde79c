"""Turns wire events into calls on the instances' balancers and their decisions into wire actions."""

import gc
from typing import BinaryIO

from maddercart.interface import DONE, SECOND, Decision, Entry, Report
from maddercart.policy.balancer import Balancer
from maddercart.translation import balancer_arguments
from maddercart.wirehost import frames as f
from maddercart.wirehost.settings import read_settings, report_order

MICROSECOND = 1000


class FrameError(ValueError):
    """What came in is not a frame of this wire."""


def seconds(nanos: int) -> float:
    """Whole microseconds, rounded up: nothing that is asked for may come before its time."""
    return -(-nanos // MICROSECOND) / 1e6


class Host:
    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.orders: dict[int, tuple[int, ...]] = {}
        self.inventories: dict[int, list[Entry]] = {}
        self.actions: list[bytes] = []
        self.tail = bytearray()

    def serve(self, source: BinaryIO, sink: BinaryIO) -> None:
        while header := source.read(f.BATCH.size):
            if len(header) < f.BATCH.size:
                raise FrameError(f"batch header cut short: {len(header)} of {f.BATCH.size} bytes")
            clock, length, records = f.BATCH.unpack(header)
            body = source.read(length)
            if len(body) < length or length < records * f.EVENT_SIZE:
                raise FrameError(f"batch at clock {clock}: {records} records do not fit {len(body)} bytes")
            sink.write(self.answer(round(clock * SECOND), body, records))
            sink.flush()

    def answer(self, now: int, body: bytes, records: int) -> bytes:
        self.actions.clear()
        self.tail.clear()
        tail_at = records * f.EVENT_SIZE
        for at in range(0, tail_at, f.EVENT_SIZE):
            code, instance = f.HEAD.unpack_from(body, at)
            if code == f.INVENTORY:
                self.read_inventory(body, at, tail_at)
                continue
            if code == f.DETACH:
                self.balancers.pop(instance, None)
                continue
            if code == f.POWER_ON:
                self.start(now, instance, body, at, tail_at)
                continue
            balancer = self.balancers.get(instance)
            if balancer is None:
                raise FrameError(f"record {at // f.EVENT_SIZE}: instance {instance} was never started")
            try:
                self.call(balancer, now, code, instance, body, at)
                while (decision := balancer.decide(now)) is not None:
                    self.write(instance, decision)
            except FrameError:
                raise
            except Exception as error:
                self.write_text(f.FAULT, instance, f"{type(error).__name__}: {error}")
        payload = b"".join(self.actions) + self.tail
        return f.REPLY.pack(len(self.actions), len(payload)) + payload

    def start(self, now: int, instance: int, body: bytes, at: int, tail_at: int) -> None:
        seed, start, length = f.POWER_ON_BODY.unpack_from(body, at)
        settings = read_settings(self.slice(body, tail_at + start, length).decode())
        self.orders[instance] = report_order(settings)
        self.balancers[instance] = Balancer(now, seed, **balancer_arguments(settings))

    def call(self, balancer: Balancer, now: int, code: int, instance: int, body: bytes, at: int) -> None:
        if code == f.COMPLETED:
            query, upstream, duration, ended, number, outcome, n, *values = f.COMPLETED_BODY.unpack_from(
                body, at
            )
            report = self.report(instance, n, values) if n else None
            balancer.outcome(
                now, query, upstream, number, round(duration * SECOND), outcome, ended != 0, report
            )
        elif code == f.DEMAND:
            query, _, remaining, offering, marks, party, _ = f.DEMAND_BODY.unpack_from(body, at)
            again = marks & f.REPEATED != 0
            balancer.take(now, query, offering, round(remaining * SECOND), 0, party, again)
        elif code == f.TIMEOUT_FIRED:
            balancer.woken(now)
        elif code == f.HEALTH_RESULT:
            upstream, status, duration, n, *values = f.HEALTH_RESULT_BODY.unpack_from(body, at)
            report = self.report(instance, n, values) if n else None
            balancer.probed(now, upstream, status == DONE, round(duration * SECOND), report)
        elif code == f.VANISHED:
            balancer.left(now, f.VANISHED_BODY.unpack_from(body, at)[0])
        elif code == f.TOPOLOGY:
            kind, _, number = f.TOPOLOGY_BODY.unpack_from(body, at)
            if kind == 3:
                balancer.list_failed(now)
            elif number not in self.inventories:
                raise FrameError(f"record {at // f.EVENT_SIZE}: inventory {number} was never sent")
            else:
                balancer.learn(now, self.inventories[number], kind != 0)
        elif code not in (f.PEER, f.FIRST):  # peers say nothing to us; a stream is the client's own
            raise FrameError(f"record {at // f.EVENT_SIZE}: event code {code} is unknown")

    def report(self, instance: int, n: int, values: list[float]) -> Report:
        known = [-1.0, -1.0, -1.0, -1.0]
        for place, value in zip(self.orders[instance], values[:n], strict=False):
            if place >= 0:
                known[place] = value
        service = known[2]
        return Report(known[0], known[1], round(service * 1e6) if service >= 0 else -1, known[3])

    def read_inventory(self, body: bytes, at: int, tail_at: int) -> None:
        number, start, count = f.INVENTORY_BODY.unpack_from(body, at)
        lines = self.slice(body, tail_at + start, count * f.ENTRY.size)
        self.inventories[number] = [
            Entry(upstream, zone, kind, cell, condition, size, round(launched * SECOND))
            for upstream, zone, kind, cell, condition, size, launched in f.ENTRY.iter_unpack(lines)
        ]

    @staticmethod
    def slice(body: bytes, start: int, length: int) -> bytes:
        if start + length > len(body):
            raise FrameError(f"tail cut short: {length} bytes at {start} of {len(body)}")
        return body[start : start + length]

    def write(self, instance: int, decision: Decision) -> None:
        put = self.actions.append
        match decision:
            case ("dispatch", int(query), int(upstream), int(limit)):
                put(f.HAND_OFF_ACTION.pack(f.HAND_OFF, instance, query, upstream, seconds(limit)))
            case ("wake", int(after)):
                put(f.SET_TIMER_ACTION.pack(f.SET_TIMER, instance, seconds(after), 0))
            case ("bounce", int(query), int(after)):
                put(f.REFUSE_ACTION.pack(f.REFUSE, instance, query, seconds(after)))
            case ("abort", int(query)):
                put(f.GIVE_UP_ACTION.pack(f.GIVE_UP, instance, query))
            case ("cancel", int(query), int(number)):
                put(f.ABORT_ATTEMPT_ACTION.pack(f.ABORT_ATTEMPT, instance, query, number))
            case ("probe", int(upstream)):
                put(f.POLL_ACTION.pack(f.POLL, instance, upstream))
            case ("follow",):
                put(f.FOLLOW_ACTION.pack(f.FOLLOW, instance, 1))
            case ("note", str(text)):
                self.write_text(f.RECORD, instance, text)
            case _:
                raise TypeError(f"unknown decision {decision!r}")

    def write_text(self, code: int, instance: int, text: str) -> None:
        line = text.encode()
        self.actions.append(f.RECORD_ACTION.pack(code, instance, len(self.tail), len(line)))
        self.tail += line


gc.freeze()
