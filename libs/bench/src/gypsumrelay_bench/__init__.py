"""Measurements and benchmarks."""
