# Six in ten of many small workers are replaced within seven seconds under a full load, at many gateways of uneven
# traffic. The budget of workers in slow start must hold for all gateways together. For the simulator (example `slow_start`).
seed     = 7
seconds  = 26
gateways = 20

front {
  uneven = 4
}

fleet {
  workers           = 24
  cores             = 2
  memory            = 4000
  queue             = 24
  loads_at_once     = 4
  idle_timeout      = 10
  initial_capacity  = 0.2
  warm_up           = 10
  overload_multiple = 2.5
  overload_window   = 1
}

store {
  at_once = 24
  takes   = 80
}

functions {
  count       = 40
  zipf        = 1.1
  concurrency = 2
  memory      = 300
  fetch       = 0.2
  start       = 0.1
}

traffic {
  rate    = 360
  work    = 0.1
  io      = 0.02
  timeout = 0.8
  retries = 1
  backoff = 0.2
}

profile "check" {
  latency_objective = 1.0
  deadline          = 3.0
  idempotency       = "idempotent"
}

rules {
  drain_grace        = 1.0
  notification_delay = 0.5
}

fault "rolling" {
  at       = 10
  duration = 7
  fraction = 0.6
}
