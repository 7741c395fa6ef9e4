// Where the owners of sockets report what has happened.
#pragma once

#include <functional>

#include "core/events.hpp"

namespace bellstair::net {

// Queues the event and returns: the core handles it later in the same turn of the loop, never from within the
// call. Safe from within any handler.
using EventSink = std::function<void(core::Event)>;

}  // namespace bellstair::net
