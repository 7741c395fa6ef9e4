// Assembles the result of a query from the pages that an engine sends. Pure: no I/O.
#pragma once

#include <cstddef>

#include "core/events.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

class ResultPages {
 public:
  // Appends the page in the response; the first page also sets the query's cost and memory. Returns false if
  // the page is unusable: it is not the next one, does not consist of complete rows of three columns, is too
  // large, or is followed by what may be further rows of it.
  [[nodiscard]] bool append(const HttpResponse& response, core::AttemptEnded& result);
  [[nodiscard]] std::size_t next() const { return next_; }  // number of the page to fetch, from 0
  [[nodiscard]] bool begun() const { return next_ > 0; }
  [[nodiscard]] bool complete() const { return next_ == count_; }

 private:
  [[nodiscard]] bool read_first_page_headers(const HttpResponse& response, core::AttemptEnded& result);

  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

}  // namespace bellstair::platform
