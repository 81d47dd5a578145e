# Twelve gateways with membership, and all faults of their links and processes, alone and at once, while functions are
# released and workers die, restart and are replaced. All rules and bounds must be kept.
upon     = "town.hcl"
seconds  = 72
gateways = 12
cores    = 1
sharing  = true

front {
  uneven = 3
}

trouble "gateway-join" {
  at   = 3
  part = 0.25
}

trouble "link-lost" {
  at    = 6
  lasts = 7
  size  = 0.2
}

trouble "release" {
  at    = 10
  lasts = 3
  part  = 0.5
}

trouble "link-cut" {
  at    = 14
  lasts = 10
  part  = 0.42
}

trouble "death" {
  at    = 15
  lasts = 4
  part  = 0.2
}

trouble "link-deaf" {
  at    = 28
  lasts = 8
  part  = 0.1
}

trouble "gateway-stall" {
  at    = 29
  lasts = 5
  part  = 0.17
  size  = 5
}

trouble "link-late" {
  at    = 37
  lasts = 8
  size  = 0.5
}

trouble "link-repeat" {
  at    = 39
  lasts = 8
}

trouble "gateway-kill" {
  at    = 42
  lasts = 6
  part  = 0.33
}

trouble "link-garbage" {
  at    = 47
  lasts = 7
}

trouble "link-cut-at-noon" {
  at    = 54
  lasts = 6
  part  = 0.5
}

trouble "release-at-noon" {
  at    = 55
  lasts = 3
  part  = 0.5
}

trouble "rolling" {
  at    = 56
  lasts = 6
  part  = 0.3
}

trouble "link-lost-at-night" {
  at    = 60
  lasts = 7
  part  = 0.5
  size  = 0.3
}

trouble "link-late-at-night" {
  at    = 60
  lasts = 7
  part  = 0.5
  size  = 0.2
}

trouble "gateway-kill-at-night" {
  at    = 62
  lasts = 4
  part  = 0.17
}
