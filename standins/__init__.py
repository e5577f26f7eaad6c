"""Fake servers for the external systems, each run as its own process."""
