"""Simulation of an edge router and model engines in virtual time."""
