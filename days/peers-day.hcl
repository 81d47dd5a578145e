# Twelve gateways with membership, and all faults of their links and processes, alone and at once, while functions are
# released and workers die, restart and are replaced. All rules and bounds must be kept.
extends  = "town.hcl"
seconds  = 72
gateways = 12
cores    = 1
sharing  = true

front {
  uneven = 3
}

fault "gateway-join" {
  at       = 3
  fraction = 0.25
}

fault "link-lost" {
  at        = 6
  duration  = 7
  magnitude = 0.2
}

fault "release" {
  at       = 10
  duration = 3
  fraction = 0.5
}

fault "link-cut" {
  at       = 14
  duration = 10
  fraction = 0.42
}

fault "death" {
  at       = 15
  duration = 4
  fraction = 0.2
}

fault "link-deaf" {
  at       = 28
  duration = 8
  fraction = 0.1
}

fault "gateway-stall" {
  at        = 29
  duration  = 5
  fraction  = 0.17
  magnitude = 5
}

fault "link-late" {
  at        = 37
  duration  = 8
  magnitude = 0.5
}

fault "link-repeat" {
  at       = 39
  duration = 8
}

fault "gateway-kill" {
  at       = 42
  duration = 6
  fraction = 0.33
}

fault "link-garbage" {
  at       = 47
  duration = 7
}

fault "link-cut-at-noon" {
  at       = 54
  duration = 6
  fraction = 0.5
}

fault "release-at-noon" {
  at       = 55
  duration = 3
  fraction = 0.5
}

fault "rolling" {
  at       = 56
  duration = 6
  fraction = 0.3
}

fault "link-lost-at-night" {
  at        = 60
  duration  = 7
  fraction  = 0.5
  magnitude = 0.3
}

fault "link-late-at-night" {
  at        = 60
  duration  = 7
  fraction  = 0.5
  magnitude = 0.2
}

fault "gateway-kill-at-night" {
  at       = 62
  duration = 4
  fraction = 0.17
}
