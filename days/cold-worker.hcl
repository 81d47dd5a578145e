# Four gateways together send to workers that have just started: none may fail from overload (rule 4).
seed     = 3
seconds  = 12
gateways = 4

fleet {
  workers      = 6
  cores        = 4
  memory       = 4000
  keep         = 6
  cold_share   = 0.2
  warm_up      = 6
  tip_multiple = 2
  tip_window   = 1
}

functions {
  count = 12
  lanes = 4
}

traffic {
  rate = 200
  work = 0.05
}

profile "check" {
  due    = 1.0
  effect = "pure"
}

rules {
  notice = 0.3
}

trouble "death" {
  at    = 2
  lasts = 1
  part  = 0.5
}

trouble "death-at-noon" {
  at    = 6
  lasts = 1
  part  = 0.5
}

trouble "burst" {
  at    = 7
  lasts = 3
  size  = 2
}
