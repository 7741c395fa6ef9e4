#include "platform/result_pages.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <utility>

#include "platform/wire_names.hpp"

namespace bellstair::platform {
namespace {
constexpr std::size_t kMaxPageBytes = 6000;
constexpr std::size_t kMaxResultBytes = 48'000;
constexpr std::size_t kMaxPages = 4096;
constexpr int kTabsPerRow = 2;  // three columns
constexpr double kMaxCostMs = 1e9;
constexpr double kMaxMemoryMb = 1e9;
constexpr double kNanosecondsPerMillisecond = 1e6;

bool has_complete_rows(std::string_view page) {
  if (page.size() > kMaxPageBytes || (!page.empty() && page.back() != '\n')) return false;
  int tabs = 0;
  for (const char c : page) {
    tabs += c == '\t' ? 1 : 0;
    if (c == '\n' && std::exchange(tabs, 0) != kTabsPerRow) return false;
    if (c == '\0') return false;
  }
  return true;
}
// Whether `bytes` begin with a row, or with a part of one that has a tab.
bool may_begin_with_row(std::string_view bytes) {
  const auto end = bytes.find('\n');
  const auto line = bytes.substr(0, end);
  const auto tabs = std::ranges::count(line, '\t');
  if (line.find('\0') != std::string_view::npos) return false;
  return end == std::string_view::npos ? tabs > 0 && tabs <= kTabsPerRow : tabs == kTabsPerRow;
}

// Whether the bytes behind a page may be further rows of it. The framing of the response is then
// contradicted, and the page may be cut. In a chunked body the size of a chunk precedes them. Other bytes are
// noise.
bool may_be_rows(std::string_view excess) {
  const auto line_end = excess.find('\n');
  if (may_begin_with_row(excess)) return true;
  return line_end != std::string_view::npos && may_begin_with_row(excess.substr(line_end + 1));
}
}  // namespace

bool ResultPages::read_first_page_headers(const HttpResponse& response, core::AttemptEnded& result) {
  const double count = response.number(wire::kPageCountHeader).value_or(0);
  if (count < 1 || count > kMaxPages || count != std::floor(count)) return false;
  count_ = static_cast<std::size_t>(count);
  const auto cost_ms = response.number(wire::kCpuCostMsHeader);
  if (cost_ms && *cost_ms >= 0 && *cost_ms < kMaxCostMs)
    result.work = core::Time(static_cast<std::int64_t>(*cost_ms * kNanosecondsPerMillisecond));
  result.memory_mb = std::clamp(response.number(wire::kMemoryUsedMbHeader).value_or(0), 0.0, kMaxMemoryMb);
  return true;
}

bool ResultPages::append(const HttpResponse& response, core::AttemptEnded& result) {
  if (!has_complete_rows(response.body) || may_be_rows(response.excess)) return false;
  if (result.body.size() + response.body.size() > kMaxResultBytes) return false;
  if (next_ == 0) {
    if (!read_first_page_headers(response, result)) return false;
  } else if (response.number(wire::kPageNumberHeader).value_or(-1) != static_cast<double>(next_)) {
    return false;
  }
  result.body += response.body;
  ++next_;
  return true;
}

}  // namespace bellstair::platform
