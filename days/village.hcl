# The base of the short scenarios, without faults: 10 emulated workers, 2 gateway processes, 120 requests a second.
seed     = 5
seconds  = 14
gateways = 2

fleet {
  workers           = 10
  cores             = 4
  memory            = 4000
  queue             = 32
  idle_timeout      = 6
  warm_up           = 5
  overload_multiple = 2.5
  overload_window   = 1
}

store {
  at_once = 12
  takes   = 40
}

functions {
  count       = 24
  concurrency = 2
}

traffic {
  rate = 120
  work = 0.05
  io   = 0.01
}

profile "check" {
  share             = 0.7
  latency_objective = 1.0
  idempotency       = "idempotent"
}

profile "order" {
  share             = 0.2
  latency_objective = 1.0
  idempotency       = "idempotent_with_key"
}

profile "dispense" {
  share             = 0.1
  latency_objective = 1.0
  idempotency       = "non_idempotent"
}

rules {
  drain_grace        = 0.5
  notification_delay = 0.5

  load_rate_limit {
    window = 5
    free   = 20
    share  = 0.1
  }
}
