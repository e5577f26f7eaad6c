"""The daemon of a router process (entry): settings, state, wiring, loops."""
