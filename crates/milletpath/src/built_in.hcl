# The configuration of `milletpath serve` without a file: on loopback alone, with emulated workers in the same process.
listen = "127.0.0.1:8080"

profile "usual" {
  latency_objective = 1.0
  deadline          = 10.0
  idempotency       = "idempotent"
}

profile "once" {
  latency_objective = 1.0
  deadline          = 10.0
  idempotency       = "non_idempotent"
}

functions {
  concurrency = 4
  memory      = 128
  load        = 0.2
}

