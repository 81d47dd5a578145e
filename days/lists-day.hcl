# The list late, stalled, lost and emptied while workers die and drain; and the troubles that the bad day leaves out.
seed     = 9
seconds  = 24
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

trouble "list-late" {
  at    = 1
  lasts = 4
  size  = 1.5
}

trouble "death" {
  at    = 2
  lasts = 2
  part  = 0.3
}

trouble "list-lost" {
  at    = 5
  lasts = 3
}

trouble "drain" {
  at    = 5.5
  lasts = 2
  part  = 0.3
}

trouble "list-stalled" {
  at    = 8
  lasts = 3
}

trouble "rolling" {
  at    = 8.5
  lasts = 2
  part  = 0.3
}

trouble "list-emptied" {
  at    = 12
  lasts = 1
}

trouble "wrong-full" {
  at    = 14
  lasts = 3
  part  = 0.3
}

trouble "lost-answers" {
  at    = 15
  lasts = 3
  part  = 0.3
  size  = 0.5
}

trouble "hot" {
  at    = 17
  lasts = 3
}

trouble "store-refuses" {
  at    = 18
  lasts = 1.5
}

trouble "store-stops" {
  at    = 20
  lasts = 1.5
}
