"""The router: the process of the system that runs on an entry instance.

It sends each request through a chain of model engines and forwards the
response to the caller.
"""
