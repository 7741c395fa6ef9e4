// Why the store has not written a version or a term.
#pragma once

#include "common/error.hpp"

namespace bellstair::control {

enum class PersistFault {
  damaged,    // the version's digest does not match
  not_newer,  // not above what the store holds
  io,         // the disk or the database has failed
};
using PersistError = CodedError<PersistFault>;

}  // namespace bellstair::control
