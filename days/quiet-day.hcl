# No faults, at the size of bad-day.hcl: the service without them, to compare with.
extends = "town.hcl"
