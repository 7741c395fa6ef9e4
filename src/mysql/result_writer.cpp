#include "mysql/result_writer.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "mysql/command.hpp"
#include "mysql/handshake.hpp"
#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "mysql/payload.hpp"
#include "mysql/response.hpp"
#include "mysql/result.hpp"

namespace bellstair::mysql {
namespace {
constexpr std::size_t kHttpEngineColumns = 3;

using Rows = std::vector<std::vector<Cell>>;

// HTTP engines send rows only, without column names or counts. Columns get numbered names, and a write
// without rows is reported with counts of 0.
Shape assumed_shape(const Rows& rows, bool returns_rows) {
  Shape shape;
  shape.has_rows = !rows.empty() || returns_rows;
  const auto columns = rows.empty() ? kHttpEngineColumns : rows.front().size();
  for (std::size_t i = 0; i < columns; ++i) shape.names.push_back("column_" + std::to_string(i + 1));
  return shape;
}

std::string write_counts(const Shape& shape) {
  return Writer().u8(0).lenenc(shape.affected).lenenc(shape.insert_id).u16(kAutocommit).u16(0).take();
}
}  // namespace

void write_result(const core::Answer& answer, const ResultFormat& format,
                  const std::function<void(std::string_view payload)>& send) {
  const auto rows = read_rows(answer.body, format.escaped_rows);
  auto shape = unpack(answer.shape);
  if (!shape) shape = assumed_shape(rows, format.returns_rows);
  if (!shape->has_rows) return send(write_counts(*shape));
  const auto columns = shape->names.size();
  if (std::ranges::any_of(rows, [&](const auto& row) { return row.size() != columns; }))
    return send(write_error({kFailed, "HY000", "failed; the engine's rows differ in length"}));
  send(Writer().lenenc(columns).take());
  for (const auto& name : shape->names) send(write_column(name, kTypeVarString));
  send(write_eof());
  for (const auto& row : rows) send(format.binary ? write_binary_row(row) : write_text_row(row));
  send(write_eof());
}

}  // namespace bellstair::mysql
