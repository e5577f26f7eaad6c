"""Entries, endpoints and marks: who is there and who is leaving."""
