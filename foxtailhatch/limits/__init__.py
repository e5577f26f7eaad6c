"""Who may run now: priorities, fair shares, bounds and early refusal."""
