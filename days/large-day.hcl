# 300 workers and 10,000 functions under 760 requests a second, through two gateways; a release and deaths. For the
# cost of a request at that size. All rules must be kept.
extends = "town.hcl"
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
  load_rate_limit {
    free = 400
  }
}

fault "release" {
  at       = 12
  duration = 5
  fraction = 0.5
}

fault "death" {
  at       = 18
  duration = 6
  fraction = 0.1
}
