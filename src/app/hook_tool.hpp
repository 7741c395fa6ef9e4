// `bellstair hook check FILE` and `bellstair hook run FILE --cases CASES`: a tweak is tried before it is
// used.
#pragma once

#include <string>

namespace bellstair::app {

// Without a platform's configuration (`config` empty) the classes and tenants are those that the cases name.
// The program's status: 0; 1 if something can't be used or a case ends otherwise than it expects.
int hook_tool(bool run, const std::string& file, const std::string& config, const std::string& cases);

}  // namespace bellstair::app
