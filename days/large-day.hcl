# 300 workers and 10,000 functions under 760 requests a second, through two gateways; a release and deaths. For the
# cost of a request at that size. All rules must be kept.
upon    = "town.hcl"
seconds = 30

fleet {
  workers = 300
}

store {
  at_once = 240
  takes   = 800
  tips    = 1600
}

functions {
  count = 10000
}

rules {
  ration {
    free = 400
  }
}

trouble "release" {
  at    = 12
  lasts = 5
  part  = 0.5
}

trouble "death" {
  at    = 18
  lasts = 6
  part  = 0.1
}
