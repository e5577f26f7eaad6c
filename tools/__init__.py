"""Build tools."""
