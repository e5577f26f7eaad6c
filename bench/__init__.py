"""Benchmarks; each prints one JSON object a line."""
