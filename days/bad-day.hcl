# The scenario to begin with: 30 emulated workers, 2 gateway processes, 760 requests a second, 16 faults in a minute, one
# after the other and some at once. All rules must be kept; docs/figures.md has the service that was measured.
extends = "town.hcl"

fault "death" {
  at       = 4
  duration = 6
  fraction = 0.2
}

fault "burst" {
  at        = 6
  duration  = 4
  magnitude = 1.6
}

fault "release" {
  at       = 12
  duration = 4
  fraction = 0.8
}

fault "failures" {
  at        = 15
  duration  = 6
  fraction  = 0.15
  magnitude = 0.7
}

fault "silence" {
  at       = 19
  duration = 6
  fraction = 0.15
}

fault "drain" {
  at       = 22
  duration = 5
  fraction = 0.2
}

fault "store-slow" {
  at        = 26
  duration  = 5
  magnitude = 4
}

fault "one-offs" {
  at       = 28
  duration = 5
  fraction = 0.1
}

fault "gateway-stall" {
  at        = 33
  duration  = 4
  fraction  = 0.5
  magnitude = 0.6
}

fault "resets" {
  at        = 36
  duration  = 4
  fraction  = 0.2
  magnitude = 0.3
}

fault "half-answers" {
  at        = 38
  duration  = 3
  fraction  = 0.2
  magnitude = 0.3
}

fault "gateway-kill" {
  at       = 42
  duration = 4
  fraction = 0.5
}

fault "heavy" {
  at        = 45
  duration  = 5
  fraction  = 0.01
  magnitude = 12
}

fault "slowness" {
  at        = 48
  duration  = 6
  fraction  = 0.2
  magnitude = 5
}

fault "impatience" {
  at        = 51
  duration  = 5
  fraction  = 0.6
  magnitude = 0.4
}

fault "rolling" {
  at       = 53
  duration = 6
  fraction = 0.3
}
