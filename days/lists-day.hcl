# The worker list late, stalled, lost and emptied while workers die and drain; and the faults that bad-day.hcl leaves out.
# All rules must be kept.
upon    = "village.hcl"
seed    = 9
seconds = 24

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
