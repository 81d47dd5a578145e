# A small fleet with all subsystems, in some two minutes on any machine. All bounds must be kept.
#     cargo run --release -- scale-test plans/size-small.hcl
name      = "size-small"
seed      = 1
gateways  = 60
real      = 2 # of them processes of `milletpath serve`
processes = 4 # that the others share
limit     = 600 # seconds, on the most crowded of machines

region "north" { zones = ["north-1", "north-2"] }
region "south" { zones = ["south-1", "south-2"] }
region "east" { zones = ["east-1", "east-2"] }

links {
  within = 1  # ms inside a region
  across = 60 # between regions that are not named below
  loss   = 0.01

  pair "north-south" {
    regions = ["north", "south"]
    ms      = 30
  }
}

# Slow, so that a busy machine and a debug build keep up with it: a gateway that answers late is suspected, and the time
# that it has is counted in periods. A lease of ten of them is as long as gossip takes to reach all of 60 (p99).
peers {
  period = 1
  lease  = 10
  floor  = 0.5
}

# So little for each that a real gateway with requests has to borrow.
budgets {
  quota  = 60 # requests a second, of all
  window = 10
  orders = 20 # of each gateway within a window
}

workers {
  hollow = 300
  real   = 3
}

functions {
  names = 8
  calls = 10 # requests a second, at the real gateways
}

control { runs = ["membership", "budgets", "list", "changes"] }

# Control machines; a zone that is lost takes one of them.
changes { control = 5 }

# Wide, so that a busy machine breaks none: the bounds of the full size are in size.hcl. None for the processor: a
# debug build beside other tests uses many times as much.
grant {
  memory_mb = 256
  bytes     = 60000
}

play "begin" {
  does   = "start"
  over   = 5
  settle = 90
}

play "quiet" {
  does    = "settled"
  seconds = 8
}

play "burst" {
  does    = "changes"
  changes = 20
  over    = 1
  settle  = 60
}

play "roll" {
  does     = "restarts"
  gateways = 6
  over     = 3
  settle   = 90
}

play "rack-gone" {
  does     = "rack"
  gateways = 5
  away     = 90
  settle   = 90
}

play "zone-gone" {
  does   = "zone"
  zone    = "south-1"
  away    = 90
  settle  = 90
  changes = 10 # with one control machine less
}

play "apart" {
  does    = "cut"
  regions = ["north", "east"]
  seconds = 10
  changes = 10
  settle  = 90
}

play "workers-back" {
  does     = "list"
  zone     = "east-1"
  editions = 25
  over     = 2
}

play "leader-gone" {
  does    = "control"
  changes = 10
  over    = 2
  away    = 4
  settle  = 60
}
