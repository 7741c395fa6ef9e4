// The commands `bellstair hook check FILE` and `bellstair hook run FILE --cases CASES`, which test hooks
// before they are deployed.
#pragma once

#include <string>

namespace bellstair::app {

// `run`: hook run, else hook check. If `config`, the platform's configuration, is empty, the classes and
// tenants are those that the cases and the hooks name. Returns the exit code: 0, or 1 if a file can't be used
// or the outcome of a case is not as expected.
int hook_tool(bool run, const std::string& file, const std::string& config, const std::string& cases);

}  // namespace bellstair::app
