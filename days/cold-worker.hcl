# Four gateways together send to workers that have just started: none may fail from overload (rule 4).
seed     = 3
seconds  = 12
gateways = 4

fleet {
  workers           = 6
  cores             = 4
  memory            = 4000
  idle_timeout      = 6
  initial_capacity  = 0.2
  warm_up           = 6
  overload_multiple = 2
  overload_window   = 1
}

functions {
  count       = 12
  concurrency = 4
}

traffic {
  rate = 200
  work = 0.05
}

profile "check" {
  latency_objective = 1.0
  idempotency       = "idempotent"
}

rules {
  notification_delay = 0.3
}

fault "death" {
  at       = 2
  duration = 1
  fraction = 0.5
}

fault "death-at-noon" {
  at       = 6
  duration = 1
  fraction = 0.5
}

fault "burst" {
  at        = 7
  duration  = 3
  magnitude = 2
}
