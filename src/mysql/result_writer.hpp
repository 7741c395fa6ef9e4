// Writes the result of a statement for a MySQL client. Pure.
#pragma once

#include <functional>
#include <string_view>

#include "core/events.hpp"

namespace bellstair::mysql {

struct ResultFormat {
  bool escaped_rows = false;  // of the engines' rows, see read_rows()
  bool binary = false;        // the statement was prepared
  bool returns_rows = false;  // by the statement's first word, where the engine does not say
};

// Calls `send` with the payload of each packet, in order.
void write_result(const core::Answer& answer, const ResultFormat& format,
                  const std::function<void(std::string_view payload)>& send);

}  // namespace bellstair::mysql
