# The faults of bad-day.hcl, and with them stalls and panics of a core in each gateway and panics of the dispatcher.
# All rules must be kept.
upon = "bad-day.hcl"

trouble "core-stall" {
  at    = 2
  lasts = 10
  size  = 0.5
}

trouble "core-stall-at-length" {
  at    = 20
  lasts = 3
  size  = 3
}

trouble "core-panic" {
  at    = 30
  lasts = 1
}

trouble "desk-break" {
  at    = 40
  lasts = 1
}

trouble "core-panic-at-dusk" {
  at    = 50
  lasts = 1
}
