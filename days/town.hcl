# The base of the large scenarios, without faults: 30 emulated workers, 2 gateway processes, 760 requests a second.
seed     = 11
seconds  = 60
gateways = 2

fleet {
  workers           = 30
  cores             = 4
  speed             = 1.0
  memory            = 6000
  queue             = 48
  loads_at_once     = 4
  idle_timeout      = 12
  initial_capacity  = 0.2
  warm_up           = 8
  overload_multiple = 2.5
  overload_window   = 1
}

store {
  at_once = 24
  takes   = 80
  tips    = 160
  stops   = 2
}

functions {
  count       = 60
  zipf        = 1.1
  concurrency = 2
  memory      = 400
  fetch       = 0.25
  start       = 0.15
}

traffic {
  rate        = 760
  work        = 0.05
  io          = 0.01
  body        = 300
  timeout     = 0.5
  retries     = 2
  backoff     = 0.1
  abandonment = 0.002
}

profile "refill-check" {
  share             = 0.8
  latency_objective = 1.0
  deadline          = 3.0
  idempotency       = "idempotent"
}

profile "refill-order" {
  share             = 0.15
  latency_objective = 1.0
  deadline          = 3.0
  idempotency       = "idempotent_with_key"
}

profile "dispense" {
  share             = 0.05
  latency_objective = 1.0
  deadline          = 3.0
  idempotency       = "non_idempotent"
  importance        = 2
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
  drain_grace        = 1.0
  idempotency_window = 30
  notification_delay = 1.5

  load_rate_limit {
    window = 10
    free   = 40
    share  = 0.05
  }
}
