"""Benchmarks; each prints one JSON object per line."""
