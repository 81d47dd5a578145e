# The bad day in short, as CI plays it: eight kinds of trouble, some at once, in 14 s on a small fleet.
seed     = 5
seconds  = 14
gateways = 2

fleet {
  workers      = 10
  cores        = 4
  memory       = 4000
  queue        = 32
  keep         = 6
  warm_up      = 5
  tip_multiple = 2.5
  tip_window   = 1
}

store {
  at_once = 12
  takes   = 40
}

functions {
  count = 24
  lanes = 2
}

traffic {
  rate = 120
  work = 0.05
  io   = 0.01
}

profile "check" {
  share  = 0.7
  due    = 1.0
  effect = "pure"
}

profile "order" {
  share  = 0.2
  due    = 1.0
  effect = "receipted"
}

profile "dispense" {
  share  = 0.1
  due    = 1.0
  effect = "effectful"
}

rules {
  drain_grace = 0.5
  notice      = 0.5

  ration {
    window = 5
    free   = 20
    share  = 0.1
  }
}

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
