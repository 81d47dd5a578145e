# Six gateways with membership: a partition in the middle while functions are released, one gateway that starts late, one
# that is killed, datagrams that are lost, repeated, late and garbage. Few free load requests and none earned: a gateway
# that took the others for gone would send too many. All bounds must be kept.
upon     = "village.hcl"
seed     = 6
seconds  = 16
gateways = 6
cores    = 1
sharing  = true

front {
  uneven = 3
}

rules {
  ration {
    window = 4
    free   = 2
    share  = 0
  }
}

trouble "gateway-join" {
  at   = 1
  part = 0.17
}

trouble "link-cut" {
  at    = 3
  lasts = 7
  part  = 0.5
}

trouble "release" {
  at   = 7
  part = 1
}

trouble "release-at-noon" {
  at   = 8
  part = 1
}

trouble "link-garbage" {
  at    = 9
  lasts = 4
}

trouble "link-repeat" {
  at    = 9
  lasts = 4
}

trouble "link-lost" {
  at    = 10
  lasts = 4
}

trouble "link-late" {
  at    = 10
  lasts = 3
  size  = 0.1
}

trouble "gateway-kill" {
  at    = 12
  lasts = 2
  part  = 0.17
}
