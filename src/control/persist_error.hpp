// Why the store could not persist a version or a term.
#pragma once

#include "common/error.hpp"

namespace bellstair::control {

enum class PersistFault {
  damaged,    // the version's digest does not match
  not_newer,  // not newer than the stored data
  io,         // the disk or the database failed
};
using PersistError = CodedError<PersistFault>;

}  // namespace bellstair::control
