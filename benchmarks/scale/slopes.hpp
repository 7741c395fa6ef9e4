// The measurements of 'make scale', by what they are made with.
#pragma once

#include <string>

#include "results.hpp"

namespace bellstair::scale {

struct Options {
  bool quick = false;
  unsigned plays = 3;
};

void hollow_slopes(const Options& options, Results& out);
void real_slopes(const Options& options, Results& out);

}  // namespace bellstair::scale
