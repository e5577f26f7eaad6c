"""The users' platform: its wire, store and settings, translated.

Nothing outside this folder knows the platform's names; only the command
line's ``route`` imports it.
"""
