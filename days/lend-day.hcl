# Six gateways, of which one has two thirds of the requests, that share every budget: a group's ceiling, retries, attempts
# at one worker, load requests. Links fail, one gateway is killed and comes back, one is paused, workers fail and restart.
# All bounds must be kept.
upon     = "village.hcl"
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

  ration {
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

trouble "failures" {
  at    = 2
  lasts = 5
  part  = 0.3
  size  = 0.7
}

trouble "release" {
  at   = 3
  part = 1
}

trouble "link-cut" {
  at    = 4
  lasts = 4
  part  = 0.5
}

trouble "death" {
  at    = 5
  lasts = 2
  part  = 0.3
}

trouble "gateway-stall" {
  at    = 6
  lasts = 2
  part  = 0.17
  size  = 2.5
}

trouble "release-at-noon" {
  at   = 8
  part = 1
}

trouble "link-lost" {
  at    = 8
  lasts = 5
  size  = 0.3
}

trouble "link-repeat" {
  at    = 8
  lasts = 5
}

trouble "link-late" {
  at    = 9
  lasts = 3
  size  = 0.1
}

trouble "gateway-kill" {
  at    = 10
  lasts = 1
  part  = 0.34
}
