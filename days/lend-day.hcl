# Six gateways, of which one has two thirds of the requests, that share every budget: a group's ceiling, retries, attempts
# at one worker, load requests. Links fail, one gateway is killed and comes back, one is paused, workers fail and restart.
# All bounds must be kept.
extends  = "village.hcl"
seed     = 7
seconds  = 16
gateways = 6
cores    = 1
sharing  = true

front {
  uneven = 4
}

client "desk" {
  share   = 0.7
  ceiling = 60
}

client "portal" {
  share = 0.3
}

rules {
  in_flight = 24

  load_rate_limit {
    window = 4
    free   = 2
    share  = 0
  }

  retries {
    window = 4
    free   = 12
    share  = 0.02
  }
}

fault "failures" {
  at        = 2
  duration  = 5
  fraction  = 0.3
  magnitude = 0.7
}

fault "release" {
  at       = 3
  fraction = 1
}

fault "link-cut" {
  at       = 4
  duration = 4
  fraction = 0.5
}

fault "death" {
  at       = 5
  duration = 2
  fraction = 0.3
}

fault "gateway-stall" {
  at        = 6
  duration  = 2
  fraction  = 0.17
  magnitude = 2.5
}

fault "release-at-noon" {
  at       = 8
  fraction = 1
}

fault "link-lost" {
  at        = 8
  duration  = 5
  magnitude = 0.3
}

fault "link-repeat" {
  at       = 8
  duration = 5
}

fault "link-late" {
  at        = 9
  duration  = 3
  magnitude = 0.1
}

fault "gateway-kill" {
  at       = 10
  duration = 1
  fraction = 0.34
}
