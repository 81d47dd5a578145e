# Configuration changes at the full size by themselves: 1,100 gateways in 4 regions with 10 zones follow 7 control
# machines. Membership is left out, so that this mechanism is measured and not a machine that lacks the processors
# for both; size.hcl runs all together. All bounds of `grant` must be kept.
name      = "size-changes"
seed      = 1
gateways  = 1100
real      = 4
processes = 16
limit     = 240 # seconds
memory_gb = 12  # of all processes

region "north" { zones = ["north-1", "north-2", "north-3"] }
region "south" { zones = ["south-1", "south-2", "south-3"] }
region "east" { zones = ["east-1", "east-2"] }
region "west" { zones = ["west-1", "west-2"] }

# One way; a round trip takes twice this. Chosen as between places on one continent and on two.
links {
  within = 1 # ms
  across = 100
  loss   = 0.01

  pair "north-south" {
    regions = ["north", "south"]
    ms      = 30
  }
  pair "north-east" {
    regions = ["north", "east"]
    ms      = 70
  }
  pair "south-west" {
    regions = ["south", "west"]
    ms      = 150
  }
}

workers {
  hollow = 3000
  real   = 4
}

functions {
  names = 32
  calls = 20
}

control { runs = ["changes", "list"] }

# One region after the other, each in a zone of its own.
changes { control = 7 }

grant {
  cpu       = 0.012 # of a core
  memory_mb = 256
  bytes     = 22000 # a second, in and out each
  change    = 3     # seconds from an author's proposal until it is in force at the last gateway
}

play "begin" {
  does = "start"
  over = 20
}

play "quiet" {
  does    = "settled"
  seconds = 15
}

# 2,900 changes a day are one in 30 s, too few to see within seconds: what one costs is the slope from the
# play before to this one.
play "at-work" {
  does    = "settled"
  seconds = 15
  changes = 15
}

# The worst of a day.
play "burst" {
  does    = "changes"
  changes = 20
  over    = 1
}

# They come back with the states that they saved.
play "roll" {
  does     = "restarts"
  gateways = 40
  over     = 10
  changes  = 10
}

# Its control machine goes as well.
play "zone-gone" {
  does    = "zone"
  zone    = "south-2"
  away    = 10
  changes = 20
}

play "leader-gone" {
  does    = "control"
  changes = 20
  over    = 2
  away    = 8
}

play "apart" {
  does    = "cut"
  regions = ["north", "east"]
  seconds = 10
  changes = 20
}

play "burst-again" {
  does    = "changes"
  changes = 20
  over    = 1
}

play "workers-back" {
  does     = "list"
  zone     = "west-1"
  editions = 20
  over     = 4
}
