// Writes the result of a statement for a MySQL client. Does no I/O.
#pragma once

#include <functional>
#include <string_view>

#include "core/events.hpp"

namespace bellstair::mysql {

struct ResultFormat {
  bool escaped_rows = false;  // the engines escape their rows, see read_rows()
  bool binary = false;        // the statement was prepared
  bool returns_rows = false;  // judged by the statement's first word; used if the engine sent no shape
};

// Calls `send` with the payload of each packet, in order.
void write_result(const core::Answer& answer, const ResultFormat& format,
                  const std::function<void(std::string_view payload)>& send);

}  // namespace bellstair::mysql
