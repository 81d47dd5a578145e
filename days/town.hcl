# The base of the large scenarios, without faults: 30 emulated workers, 2 gateway processes, 760 requests a second.
seed     = 11
seconds  = 60
gateways = 2

fleet {
  workers       = 30
  cores         = 4
  speed         = 1.0
  memory        = 6000
  queue         = 48
  loads_at_once = 4
  keep          = 12
  cold_share    = 0.2
  warm_up       = 8
  tip_multiple  = 2.5
  tip_window    = 1
}

store {
  at_once = 24
  takes   = 80
  tips    = 160
  stops   = 2
}

functions {
  count  = 60
  zipf   = 1.1
  lanes  = 2
  memory = 400
  fetch  = 0.25
  start  = 0.15
}

traffic {
  rate     = 760
  work     = 0.05
  io       = 0.01
  body     = 300
  patience = 0.5
  retries  = 2
  backoff  = 0.1
  leave    = 0.002
}

profile "refill-check" {
  share   = 0.8
  due     = 1.0
  cut_off = 3.0
  effect  = "pure"
}

profile "refill-order" {
  share   = 0.15
  due     = 1.0
  cut_off = 3.0
  effect  = "receipted"
}

profile "dispense" {
  share      = 0.05
  due        = 1.0
  cut_off    = 3.0
  effect     = "effectful"
  importance = 2
}

client "counter" {
  share = 0.6
  quota = 520
}

client "portal" {
  share = 0.4
  quota = 360
}

rules {
  drain_grace = 1.0
  receipts    = 30
  notice      = 1.5

  ration {
    window = 10
    free   = 40
    share  = 0.05
  }
}
