# The configuration of `milletpath serve` without a file: on loopback alone, with emulated workers in the same process.
listen = "127.0.0.1:8080"

profile "usual" {
  due     = 1.0
  cut_off = 10.0
  effect  = "pure"
}

profile "once" {
  due     = 1.0
  cut_off = 10.0
  effect  = "effectful"
}

functions {
  lanes  = 4
  memory = 128
  load   = 0.2
}

