"""Admission limits: request rates per key, concurrency with fair shares, retry budgets, adaptive concurrency.

No I/O; the current time is passed in. Limiters never make a query wait: they admit it at once or reject it.
"""

from collections import deque
from hashlib import blake2b

from maddercart.interface import SECOND

KEY_BYTES = 160  # that a key with a bucket of its own takes


def key_digest(key: str) -> int:
    return int.from_bytes(blake2b(key.encode("utf-8", "surrogateescape"), digest_size=8).digest(), "little")


class RateLimiter:
    """A token bucket for each key, stored as the instant at which the bucket will be full again.

    A key whose bucket is full needs no entry. Each query checks a few old entries and removes those that are
    full, so that no single query pays for cleaning up a large table.

    To bound memory against clients that send a new key with each request, at most `max_keys` keys have a
    bucket of their own. Further keys share buckets: each hashes to two of them, and the less used one
    decides. A new key is therefore limited by the traffic of others only if both of its buckets are in use.
    """

    SHARED_BUCKETS = 8192  # 1000 busy keys among them affect one new key in 70
    EXPIRY_CHECKS = 2  # per query; more than 1, so that entries expire faster than new keys come

    def __init__(self, rate: float, burst: float, max_keys: int) -> None:
        """`rate` is in queries per second, `burst` in queries."""
        self.configure(rate, burst, max_keys)
        # By digest of the key, which a client may make long: the instant at which its bucket will be full.
        self.full_at: dict[int, int] = {}
        self.expiry_queue: deque[int] = deque()  # digests in the order in which they are checked
        self.shared_full_at: list[int] = []  # by bucket number; empty until first used

    def configure(self, rate: float, burst: float, max_keys: int) -> None:
        """Changes the limit; the state of all keys is kept."""
        # The time in which one token, and a full bucket, are refilled.
        self.token_interval, self.refill_time, self.max_keys = (
            int(SECOND / rate),
            int(SECOND / rate * burst),
            max_keys,
        )

    def admit(self, now: int, key: str) -> int:
        """Returns 0 and counts the query if it is admitted, else the nanoseconds until one would be."""
        self.expire_keys(now)
        digest = key_digest(key)
        full_at = self.full_at.get(digest)
        if full_at is None and len(self.full_at) >= self.max_keys:
            return self.admit_shared(now, digest)
        if delay := self.delay_until_token(now, full_at or 0):
            return delay
        if full_at is None:
            self.expiry_queue.append(digest)
        self.full_at[digest] = max(now, full_at or 0) + self.token_interval
        return 0

    def delay_until_token(self, now: int, full_at: int) -> int:
        return max(0, full_at + self.token_interval - self.refill_time - now)

    def admit_shared(self, now: int, digest: int) -> int:
        """Like `admit`, for a key without a bucket of its own."""
        self.shared_full_at = self.shared_full_at or [0] * self.SHARED_BUCKETS
        buckets = (digest % self.SHARED_BUCKETS, (digest >> 32) % self.SHARED_BUCKETS)
        full_at = min(self.shared_full_at[bucket] for bucket in buckets)
        if delay := self.delay_until_token(now, full_at):
            return delay
        for bucket in buckets:
            self.shared_full_at[bucket] = max(
                self.shared_full_at[bucket], max(now, full_at) + self.token_interval
            )
        return 0

    def expire_keys(self, now: int) -> None:
        """Checks the next few keys and removes those whose bucket is full."""
        for _ in range(min(self.EXPIRY_CHECKS, len(self.expiry_queue))):
            digest = self.expiry_queue.popleft()
            if self.full_at[digest] <= now:
                del self.full_at[digest]
            else:
                self.expiry_queue.append(digest)


class ConcurrencyLimiter:
    """Limits the number of queries held at once to `max_held`; 0 means no limit.

    Once the fraction `fair_from` of them is in use, no client may hold more than an even share among the
    clients that hold any, so that a client that floods the gateway has only its own queries rejected.
    """

    def __init__(self, max_held: int, fair_from: float) -> None:
        self.max_held, self.fair_from = max_held, fair_from
        self.held = 0
        self.held_by_client: dict[str, int] = {}

    def admit(self, client: str) -> bool:
        """Whether a query is admitted; one that is must be released."""
        own = self.held_by_client.get(client, 0)
        if self.max_held:
            clients = len(self.held_by_client) + (own == 0)
            crowded = self.held >= self.fair_from * self.max_held
            if self.held >= self.max_held or (crowded and own >= max(1, self.max_held // clients)):
                return False
        self.held += 1
        self.held_by_client[client] = own + 1
        return True

    def release(self, client: str) -> None:
        self.held -= 1
        if (own := self.held_by_client[client] - 1) > 0:
            self.held_by_client[client] = own
        else:
            del self.held_by_client[client]


class RetryLimiter:
    """A retry budget: dispatches beyond the first of each query, as a share of the first ones.

    Each query is granted its retries when it is accepted and refunds the unused ones when it ends, so the
    total stays within the budget at all times, whatever fails.
    """

    def __init__(self, share: float, burst: float) -> None:
        """`share` is retries per query; `burst` is the initial and the greatest balance."""
        self.share, self.burst, self.balance = share, burst, burst

    def configure(self, share: float, burst: float) -> None:
        self.share, self.burst, self.balance = share, burst, min(self.balance, burst)

    def grant(self, wanted: int) -> int:
        """Credits one accepted query and returns how many of the `wanted` retries it may use."""
        self.balance = min(self.burst, self.balance + self.share)
        granted = min(wanted, int(self.balance))
        self.balance -= granted
        return granted

    def refund(self, unused: int) -> None:
        self.balance = min(self.burst, self.balance + unused)


class AdaptiveLimiter:
    """A limit on held queries that adapts to measured latency.

    A decision is made for every `SAMPLES_PER_DECISION` answers, or after `MAX_INTERVAL_NS` if there are at
    least 8. The baseline is the lower quartile of the medians of recent decisions. If the current median
    exceeds `tolerance` times the baseline, the limit is multiplied by `DECREASE_FACTOR`. Otherwise it grows
    by its square root, provided that at least half of it was in use.
    """

    SAMPLES_PER_DECISION, MAX_INTERVAL_NS = 64, SECOND
    BASELINE_DECISIONS = 60  # how many recent medians the baseline is taken from
    DECREASE_FACTOR = 0.9

    def __init__(self, min_limit: int, max_limit: int, tolerance: float) -> None:
        self.limit = float(min_limit)
        self.configure(min_limit, max_limit, tolerance)
        self.latencies: list[int] = []  # since the last decision
        self.recent_medians: deque[int] = deque(maxlen=self.BASELINE_DECISIONS)
        self.last_decision_at = 0
        self.peak_held = 0  # the most queries held at once since the last decision

    def configure(self, min_limit: int, max_limit: int, tolerance: float) -> None:
        self.min_limit, self.max_limit, self.tolerance = min_limit, max_limit, tolerance
        self.limit = min(max(self.limit, min_limit), max_limit)

    def admit(self, held: int) -> bool:
        """Whether one more query may be held beside `held` others."""
        self.peak_held = max(self.peak_held, held + 1)
        return held < int(self.limit)

    def record_answer(self, now: int, latency: int) -> None:
        """Records an upstream's answer and the time that its query was held; may adjust the limit."""
        self.latencies.append(latency)
        if len(self.latencies) < self.SAMPLES_PER_DECISION and (
            now - self.last_decision_at < self.MAX_INTERVAL_NS or len(self.latencies) < 8
        ):
            return
        median = sorted(self.latencies)[len(self.latencies) // 2]
        self.recent_medians.append(median)
        baseline = sorted(self.recent_medians)[len(self.recent_medians) // 4]
        if median > self.tolerance * baseline:
            self.limit = max(self.min_limit, self.limit * self.DECREASE_FACTOR)
        # An unused limit must not grow: it would be too high to protect the upstreams once load comes.
        elif self.peak_held >= self.limit / 2:
            self.limit = min(self.max_limit, self.limit + self.limit**0.5)
        self.latencies.clear()
        self.last_decision_at, self.peak_held = now, 0
