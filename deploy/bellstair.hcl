# What is off on the platform: bellstair serve --fronts deploy/bellstair.hcl
# Secrets stand in the environment; here stand the names of the variables. docs/operators/hooks.md tells of hooks.

mysql {
  listen = "127.0.0.1:3307"
  user "gateway" {
    password_env = "BELLSTAIR_GATEWAY_PASSWORD"
    tenant       = "lycee-ennour"
  }
}

# hooks {
#   share = 0.2 # of the loop's time, for all hooks together
# }
#
# hook "archive" {
#   script     = "hooks/archive.lua"
#   time       = "2ms"
#   memory     = "1MB"
#   on_failure = "pass"
#   match {
#     class = "report"
#   }
# }

# The configuration of all brokers, in numbered versions; docs/operators/control.md tells of it. The same file serves
# brokers, the control nodes (bellstair control FILE --node c1) and the operator's tool (bellstair config ...).
# control {
#   fleet   = "tunis"
#   epoch   = 1                               # raised whenever another node is named as writer
#   writer  = "c1"
#   classes = ["lookup", "report", "load"]    # that a document may name; needed by nodes
#   region  = "north"                         # of the broker that reads this file
#   last    = "/var/lib/bellstair/last-version" # where a broker keeps the version in force; absent: nowhere
#   node "c1" {
#     address = "10.0.0.1:7101"
#     region  = "north"
#     store   = "/var/lib/bellstair/control.db"
#   }
# }
