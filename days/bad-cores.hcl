# The faults of bad-day.hcl, and with them stalls and panics of a core in each gateway and panics of the dispatcher.
# All rules must be kept.
upon = "town.hcl"

trouble "death" {
  at    = 4
  lasts = 6
  part  = 0.2
}

trouble "burst" {
  at    = 6
  lasts = 4
  size  = 1.6
}

trouble "release" {
  at    = 12
  lasts = 4
  part  = 0.8
}

trouble "failures" {
  at    = 15
  lasts = 6
  part  = 0.15
  size  = 0.7
}

trouble "silence" {
  at    = 19
  lasts = 6
  part  = 0.15
}

trouble "drain" {
  at    = 22
  lasts = 5
  part  = 0.2
}

trouble "store-slow" {
  at    = 26
  lasts = 5
  size  = 4
}

trouble "one-offs" {
  at    = 28
  lasts = 5
  part  = 0.1
}

trouble "gateway-stall" {
  at    = 33
  lasts = 4
  part  = 0.5
  size  = 0.6
}

trouble "resets" {
  at    = 36
  lasts = 4
  part  = 0.2
  size  = 0.3
}

trouble "half-answers" {
  at    = 38
  lasts = 3
  part  = 0.2
  size  = 0.3
}

trouble "gateway-kill" {
  at    = 42
  lasts = 4
  part  = 0.5
}

trouble "heavy" {
  at    = 45
  lasts = 5
  part  = 0.01
  size  = 12
}

trouble "slowness" {
  at    = 48
  lasts = 6
  part  = 0.2
  size  = 5
}

trouble "impatience" {
  at    = 51
  lasts = 5
  part  = 0.6
  size  = 0.4
}

trouble "rolling" {
  at    = 53
  lasts = 6
  part  = 0.3
}

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
