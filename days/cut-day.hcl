# Six gateways with membership: a partition in the middle while functions are released, one gateway that starts late, one
# that is killed, datagrams that are lost, repeated, late and garbage. Few free load requests and none earned: a gateway
# that took the others for gone would send too many. All bounds must be kept.
extends  = "village.hcl"
seed     = 6
seconds  = 16
gateways = 6
cores    = 1
sharing  = true

front {
  uneven = 3
}

rules {
  load_rate_limit {
    window = 4
    free   = 2
    share  = 0
  }
}

fault "gateway-join" {
  at       = 1
  fraction = 0.17
}

fault "link-cut" {
  at       = 3
  duration = 7
  fraction = 0.5
}

fault "release" {
  at       = 7
  fraction = 1
}

fault "release-at-noon" {
  at       = 8
  fraction = 1
}

fault "link-garbage" {
  at       = 9
  duration = 4
}

fault "link-repeat" {
  at       = 9
  duration = 4
}

fault "link-lost" {
  at       = 10
  duration = 4
}

fault "link-late" {
  at        = 10
  duration  = 3
  magnitude = 0.1
}

fault "gateway-kill" {
  at       = 12
  duration = 2
  fraction = 0.17
}
