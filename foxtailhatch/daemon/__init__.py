"""The running entry: settings, blackboard, wiring and the loop."""
