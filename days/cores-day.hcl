# Faults of the cores of a gateway (stalls, panics, panics of the dispatcher) beside draining and dying workers, short
# enough for CI. All rules must be kept.
upon = "village.hcl"

trouble "core-stall" {
  at    = 1
  lasts = 3
  size  = 0.6
}

trouble "drain" {
  at    = 1.5
  lasts = 2
}

trouble "core-panic" {
  at    = 4.5
  lasts = 1
}

trouble "desk-break" {
  at    = 6
  lasts = 1
}

trouble "death" {
  at    = 6.5
  lasts = 2
}

trouble "core-stall-at-dusk" {
  at    = 8
  lasts = 1
  size  = 1
}
