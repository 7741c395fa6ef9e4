#include "platform/load_report.hpp"

#include "platform/wire_names.hpp"

namespace bellstair::platform {

std::optional<std::vector<double>> read_load_report(const HttpResponse& response,
                                                    const std::vector<std::string>& fields) {
  const auto text = response.header(wire::kLoadReportHeader);
  if (text.empty()) return std::nullopt;
  const auto values = parse_load_report(text);
  std::vector<double> report;
  for (const auto& field : fields) {
    const auto found = values.find(field);
    if (found == values.end()) return std::nullopt;
    report.push_back(found->second);
  }
  return report;
}

}  // namespace bellstair::platform
