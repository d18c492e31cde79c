"""Simulation of a fleet (clients, sidecars, servers, the list) for experiments; all figures are simulated."""
