"""One answer over its stages, as a state machine without I/O."""
