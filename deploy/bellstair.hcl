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
