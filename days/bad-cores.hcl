# The faults of bad-day.hcl, and with them stalls and panics of a core in each gateway and panics of the dispatcher.
# All rules must be kept.
extends = "bad-day.hcl"

fault "core-stall" {
  at        = 2
  duration  = 10
  magnitude = 0.5
}

fault "core-stall-at-length" {
  at        = 20
  duration  = 3
  magnitude = 3
}

fault "core-panic" {
  at       = 30
  duration = 1
}

fault "desk-break" {
  at       = 40
  duration = 1
}

fault "core-panic-at-dusk" {
  at       = 50
  duration = 1
}
