# Faults of the cores of a gateway (stalls, panics, panics of the dispatcher) beside draining and dying workers, short
# enough for CI. All rules must be kept.
extends = "village.hcl"

fault "core-stall" {
  at        = 1
  duration  = 3
  magnitude = 0.6
}

fault "drain" {
  at       = 1.5
  duration = 2
}

fault "core-panic" {
  at       = 4.5
  duration = 1
}

fault "desk-break" {
  at       = 6
  duration = 1
}

fault "death" {
  at       = 6.5
  duration = 2
}

fault "core-stall-at-dusk" {
  at        = 8
  duration  = 1
  magnitude = 1
}
