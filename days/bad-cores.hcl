# The bad day with its cores struck as well: stalls of a core in each gateway, panics, and decisions that break.
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

trouble "death" {
  at    = 4
  lasts = 6
  part  = 0.2
}

trouble "burst" {
  at    = 6
  lasts = 4
  size  = 1.6
}

trouble "release" {
  at    = 12
  lasts = 4
  part  = 0.8
}

trouble "failures" {
  at    = 15
  lasts = 6
  part  = 0.15
  size  = 0.7
}

trouble "silence" {
  at    = 19
  lasts = 6
  part  = 0.15
}

trouble "drain" {
  at    = 22
  lasts = 5
  part  = 0.2
}

trouble "store-slow" {
  at    = 26
  lasts = 5
  size  = 4
}

trouble "one-offs" {
  at    = 28
  lasts = 5
  part  = 0.1
}

trouble "gateway-stall" {
  at    = 33
  lasts = 4
  part  = 0.5
  size  = 0.6
}

trouble "resets" {
  at    = 36
  lasts = 4
  part  = 0.2
  size  = 0.3
}

trouble "half-answers" {
  at    = 38
  lasts = 3
  part  = 0.2
  size  = 0.3
}

trouble "gateway-kill" {
  at    = 42
  lasts = 4
  part  = 0.5
}

trouble "heavy" {
  at    = 45
  lasts = 5
  part  = 0.01
  size  = 12
}

trouble "slowness" {
  at    = 48
  lasts = 6
  part  = 0.2
  size  = 5
}

trouble "impatience" {
  at    = 51
  lasts = 5
  part  = 0.6
  size  = 0.4
}

trouble "rolling" {
  at    = 53
  lasts = 6
  part  = 0.3
}

trouble "core-stall" {
  at    = 2
  lasts = 10
  size  = 0.5
}

trouble "core-stall-at-length" {
  at    = 20
  lasts = 3
  size  = 3
}

trouble "core-panic" {
  at    = 30
  lasts = 1
}

trouble "desk-break" {
  at    = 40
  lasts = 1
}

trouble "core-panic-at-dusk" {
  at    = 50
  lasts = 1
}
