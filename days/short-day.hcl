# The faults of bad-day.hcl in short, for CI: eight kinds, some at once, in 14 s on a small fleet. All rules must be kept.
extends = "village.hcl"

fault "death" {
  at       = 1
  duration = 3
  fraction = 0.3
}

fault "failures" {
  at       = 2
  duration = 3
  fraction = 0.3
}

fault "release" {
  at       = 4
  duration = 2
}

fault "drain" {
  at       = 5
  duration = 3
  fraction = 0.3
}

fault "gateway-stall" {
  at        = 6
  duration  = 2
  magnitude = 0.7
}

fault "resets" {
  at       = 7
  duration = 3
  fraction = 0.4
}

fault "garbage" {
  at       = 8
  duration = 2
  fraction = 0.3
}

fault "gateway-kill" {
  at       = 9
  duration = 2
}

fault "silence" {
  at       = 10
  duration = 3
  fraction = 0.2
}

fault "list-repeated" {
  at       = 11
  duration = 2
}
