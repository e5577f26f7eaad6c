"""Adapter to the users' platform: its wire format, store and settings.

The names of the platform's protocol are used in this package only.  It is
imported by the ``route`` command alone.
"""
