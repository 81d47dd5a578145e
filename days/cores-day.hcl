# What can go wrong with the cores of a gateway, beside drains, deaths and lists: stalls, panics and decisions that break.
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

trouble "core-stall" {
  at    = 1
  lasts = 3
  size  = 0.6
}

trouble "drain" {
  at    = 1.5
  lasts = 2
}

trouble "core-panic" {
  at    = 4.5
  lasts = 1
}

trouble "desk-break" {
  at    = 6
  lasts = 1
}

trouble "death" {
  at    = 6.5
  lasts = 2
}

trouble "core-stall-at-dusk" {
  at    = 8
  lasts = 1
  size  = 1
}
