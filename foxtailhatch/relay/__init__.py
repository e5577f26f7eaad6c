"""Relay requests from callers to endpoints, and responses back.

Each request is sent to a chain of model engines or to a single endpoint.
Failed attempts are retried, within a retry budget, where that is safe.
"""
