"""Relaying of requests from callers to endpoints and of answers back."""
