"""Hashes of sidecars and upstreams, the same in every process, for subsets and the slow-start ring."""

from math import log


def hash_rank(sidecar: int, upstream: int) -> float:
    """The rank of an upstream for a sidecar in weighted rendezvous hashing.

    The lower rank / size is, the sooner the upstream is in the sidecar's subset.
    """
    return -log((hash_pair(sidecar, upstream) + 0.5) / (1 << 32))


def hash_pair(first: int, second: int) -> int:
    """A 32-bit hash of two numbers, the same at every sidecar."""
    mixed = (first * 0x9E3779B1 + second * 0x85EBCA6B + 0x27D4EB2F) & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 15)) * 0x2C1B3C6D & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 12)) * 0x297A2D39 & 0xFFFFFFFF
    return mixed ^ (mixed >> 15)
