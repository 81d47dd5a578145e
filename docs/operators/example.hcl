# A configuration file with all sections but peers and changes. Required are only due and effect of a profile, memory of a
# receipted one, and the workers.
listen   = "127.0.0.1:8080"
gateways = 2 # that share the workers, this one included

profile "refill-check" {
  due        = 1.0 # seconds
  cut_off    = 3.0
  effect     = "pure"
  importance = 1
}

profile "refill-order" {
  due     = 1.0
  cut_off = 3.0
  effect  = "receipted"
  group   = "zone"
  memory  = 60 # seconds for which workers of the group know a repeat
}

client "counter" { quota = 44 } # calls a second, over all gateways

functions {
  lanes  = 2
  memory = 400 # MB
  load   = 0.6 # seconds
}

function "packs-a" {
  lanes   = 4
  profile = "refill-check"
}

workers {
  drain_grace  = 1.0
  keep         = 11
  cold_share   = 0.17
  warm_up      = 16
  tip_multiple = 2.5
  tip_window   = 1

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

  ration {
    window = 10
    free   = 20
    share  = 0.05
  }
}
