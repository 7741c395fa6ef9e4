// The callback through which the owners of sockets report events to the core.
#pragma once

#include <functional>

#include "core/events.hpp"

namespace bellstair::net {

// Queues the event and returns: the core handles it later in the same iteration of the loop, never from
// within the call. May be called from within any handler.
using EventSink = std::function<void(core::Event)>;

}  // namespace bellstair::net
