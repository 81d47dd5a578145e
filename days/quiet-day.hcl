# A day without trouble, of the bad day's size: what service is when nothing goes wrong.
upon = "town.hcl"
