// `bellstair hook check FILE` and `bellstair hook run FILE --cases CASES`: tests hooks before they are
// deployed.
#pragma once

#include <string>

namespace bellstair::app {

// Without a platform's configuration (`config` empty) the classes and tenants are those that the cases name.
// Returns the exit code: 0, or 1 if something can't be used or a case does not end as it expects.
int hook_tool(bool run, const std::string& file, const std::string& config, const std::string& cases);

}  // namespace bellstair::app
