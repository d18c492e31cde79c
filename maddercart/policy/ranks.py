"""Hashes of sidecars and upstreams, alike in every process: own sets and the cold ring rest on them."""

from math import log


def rank(sidecar: int, upstream: int) -> float:
    """Over an upstream's size: the less, the sooner it is in a sidecar's set."""
    return -log((mix(sidecar, upstream) + 0.5) / (1 << 32))


def mix(one: int, two: int) -> int:
    """A stable hash of two numbers, the same at every sidecar."""
    mixed = (one * 0x9E3779B1 + two * 0x85EBCA6B + 0x27D4EB2F) & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 15)) * 0x2C1B3C6D & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 12)) * 0x297A2D39 & 0xFFFFFFFF
    return mixed ^ (mixed >> 15)
