# The faults of bad-day.hcl in short, for CI: eight kinds, some at once, in 14 s on a small fleet. All rules must be kept.
upon = "village.hcl"

trouble "death" {
  at    = 1
  lasts = 3
  part  = 0.3
}

trouble "failures" {
  at    = 2
  lasts = 3
  part  = 0.3
}

trouble "release" {
  at    = 4
  lasts = 2
}

trouble "drain" {
  at    = 5
  lasts = 3
  part  = 0.3
}

trouble "gateway-stall" {
  at    = 6
  lasts = 2
  size  = 0.7
}

trouble "resets" {
  at    = 7
  lasts = 3
  part  = 0.4
}

trouble "garbage" {
  at    = 8
  lasts = 2
  part  = 0.3
}

trouble "gateway-kill" {
  at    = 9
  lasts = 2
}

trouble "silence" {
  at    = 10
  lasts = 3
  part  = 0.2
}

trouble "list-repeated" {
  at    = 11
  lasts = 2
}
