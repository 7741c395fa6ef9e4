#include "policy/state.hpp"

#include <stdexcept>
#include <string>

namespace bellstair::policy {
namespace {
constexpr std::size_t kMaxBytes = 256;

void add(std::string& bytes, unsigned value, int size) {
  for (; size > 0; --size, value >>= 8) bytes.push_back(static_cast<char>(value & 0xff));
}

unsigned number(const std::string& bytes, std::size_t at, std::size_t size) {
  unsigned value = 0;
  while (size-- > 0) value = value << 8 | static_cast<unsigned char>(bytes[at + size]);
  return value;
}
}  // namespace

void check(const Settings& s) {
  const auto bad = [](const char* what) { throw std::invalid_argument(std::string("settings: ") + what); };
  if (s.brokers == 0) bad("gateways must be 1 or more");
  if (s.classes.empty()) bad("classes must not be empty");
  if (s.kinds.empty()) bad("kinds must not be empty");
  if (s.max_attempts == 0) bad("max_attempts must be 1 or more");
  if (s.slow_start_capacity <= 0 || s.slow_start_capacity > 1)
    bad("cold_from must lie above 0 and not above 1");
  for (const auto& c : s.classes) {
    if (c.latency_objective <= Time::zero()) bad("classes[].aim must be above 0");
    if (c.threads == 0) bad("classes[].threads must be 1 or more");
  }
  for (const auto& k : s.kinds) {
    if (!(k.cores > 0)) bad("kinds[].cores must be above 0");
  }
  for (const auto& t : s.tenants) {
    if (!(t.quota_fraction >= 0)) bad("tenants[].portion must not be below 0");
    if (!(t.quota_per_s >= 0)) bad("tenants[].quota-rps must not be below 0");
  }
  if (s.retry_budget && s.retry_budget->window <= Time::zero()) bad("retry_budget.span must be above 0");
}

void check_change(const Settings& from, const Settings& to) {
  check(to);
  const auto fixed = [](bool same, const std::string& what) {
    if (!same) throw std::invalid_argument("settings: " + what + " can't change in a running gateway");
  };
  fixed(from.classes.size() == to.classes.size(), "the number of classes");
  fixed(from.kinds == to.kinds, "kinds");
  fixed(from.brokers == to.brokers && from.broker_index == to.broker_index, "gateways");
  fixed(from.zone == to.zone && from.zones == to.zones, "zones");
  fixed(from.min_call_interval == to.min_call_interval, "step");
  Settings may = from;  // with all that may differ as it is to be
  may.tenants = to.tenants;
  for (std::size_t c = 0; c < to.classes.size(); ++c) {
    auto& cls = may.classes[c];
    const auto& wanted = to.classes[c];
    cls.latency_objective = wanted.latency_objective;
    cls.client_timeout = wanted.client_timeout;
    cls.priority_weight = wanted.priority_weight;
    cls.late_weight = wanted.late_weight;
    fixed(cls.name == wanted.name, "classes[].name");
    fixed(cls.threads == wanted.threads, "classes[].threads");
    fixed(cls.idempotency == wanted.idempotency && cls.deduplication_scope == wanted.deduplication_scope &&
              cls.deduplication_window == wanted.deduplication_window,
          "classes[].semantics");
    fixed(cls == wanted, "classes[].in_order, zones, kinds, aim_stretch or groups");
  }
  fixed(may == to, "what is neither a class's aims and worths nor a tenant");
}

std::string encode(const PeerText& text) {
  std::string bytes = text.reports ? "r" : "o";
  for (const unsigned value : {text.threads, text.rate})
    if (text.reports) add(bytes, std::min(value, 0xffffU), 2);
  for (const auto& entry : text.entries) {
    if (bytes.size() + 6 > kMaxBytes) break;
    add(bytes, entry.engine, 4);
    add(bytes, std::min(entry.value, 0xffU), 1);
    if (text.reports) add(bytes, std::min(entry.age, 0xffU), 1);
  }
  return bytes;
}

std::optional<PeerText> decode(const std::string& bytes) {
  PeerText text;
  text.reports = !bytes.empty() && bytes[0] == 'r';
  const std::size_t head = text.reports ? 5 : 1, size = text.reports ? 6 : 5;
  const bool known = text.reports || (!bytes.empty() && bytes[0] == 'o');
  if (!known || bytes.size() > kMaxBytes || bytes.size() < head || (bytes.size() - head) % size != 0)
    return std::nullopt;
  if (text.reports) text.threads = number(bytes, 1, 2), text.rate = number(bytes, 3, 2);
  for (std::size_t i = head; i < bytes.size(); i += size)
    text.entries.push_back(
        {number(bytes, i, 4), number(bytes, i + 4, 1), text.reports ? number(bytes, i + 5, 1) : 0});
  return text;
}

}  // namespace bellstair::policy
