# A configuration file with all sections but peers and changes. Required are only latency_objective and idempotency of a
# profile, memory of one that is idempotent_with_key, and the workers.
listen   = "127.0.0.1:8080"
gateways = 2 # that share the workers, this one included

profile "refill-check" {
  latency_objective = 1.0 # seconds
  deadline          = 3.0
  idempotency       = "idempotent"
  importance        = 1
}

profile "refill-order" {
  latency_objective = 1.0
  deadline          = 3.0
  idempotency       = "idempotent_with_key"
  group             = "zone"
  memory            = 60 # seconds for which workers of the group know a repeat
}

client "counter" { quota = 44 } # calls a second, over all gateways

functions {
  concurrency = 2
  memory      = 400 # MB
  load        = 0.6 # seconds
}

function "packs-a" {
  concurrency = 4
  profile     = "refill-check"
}

workers {
  drain_grace       = 1.0
  idle_timeout      = 11
  initial_capacity  = 0.17
  warm_up           = 16
  overload_multiple = 2.5
  overload_window   = 1

  kind "std" { memory = 9856 }

  worker "w1" {
    address = "127.0.0.1:9001"
    kind    = "std"
    zone    = "room"
    size    = 1.5
  }

  worker "w2" {
    address = "127.0.0.1:9002"
    kind    = "std"
    zone    = "room"
  }
}

limits {
  shots  = 4
  open   = 20000
  body   = 1048576
  answer = 8388608

  load_rate_limit {
    window = 10
    free   = 20
    share  = 0.05
  }
}
