"""Detecting, containing and retrying failures of endpoints."""
