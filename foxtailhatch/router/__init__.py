"""The router: one process of the system on an entry instance."""
