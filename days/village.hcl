# The base of the short scenarios, without faults: 10 emulated workers, 2 gateway processes, 120 requests a second.
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
