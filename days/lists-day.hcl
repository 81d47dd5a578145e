# The worker list late, stalled, lost and emptied while workers die and drain; and the faults that bad-day.hcl leaves out.
# All rules must be kept.
extends = "village.hcl"
seed    = 9
seconds = 24

fault "list-late" {
  at        = 1
  duration  = 4
  magnitude = 1.5
}

fault "death" {
  at       = 2
  duration = 2
  fraction = 0.3
}

fault "list-lost" {
  at       = 5
  duration = 3
}

fault "drain" {
  at       = 5.5
  duration = 2
  fraction = 0.3
}

fault "list-stalled" {
  at       = 8
  duration = 3
}

fault "rolling" {
  at       = 8.5
  duration = 2
  fraction = 0.3
}

fault "list-emptied" {
  at       = 12
  duration = 1
}

fault "wrong-full" {
  at       = 14
  duration = 3
  fraction = 0.3
}

fault "lost-answers" {
  at        = 15
  duration  = 3
  fraction  = 0.3
  magnitude = 0.5
}

fault "hot" {
  at       = 17
  duration = 3
}

fault "store-refuses" {
  at       = 18
  duration = 1.5
}

fault "store-stops" {
  at       = 20
  duration = 1.5
}
