// `bellstair config publish`.
#include "app/config_report.hpp"
#include "app/control_node.hpp"
#include "config/config.hpp"

namespace bellstair::app::config_tool {
namespace {

constexpr Time kWriter = 4s;  // to find the writer

// A node does not know the document's file: its name for it becomes the file's.
std::string with_name(const std::string& problems, const std::string& name) {
  const std::string known = std::string(kDocument) + ':';
  std::string out;
  for (std::size_t from = 0; from < problems.size();) {
    const auto end = std::min(problems.find('\n', from), problems.size());
    auto line = problems.substr(from, end - from);
    if (line.starts_with(known)) line.replace(0, known.size() - 1, name);
    out += (out.empty() ? "" : "\n") + line;
    from = end + 1;
  }
  return out;
}

class Publishing {
 public:
  Publishing(ev::loop_ref loop, const config::Control& config, std::string document, std::string text,
             Time wait)
      : config_(config),
        document_(std::move(document)),
        text_(std::move(text)),
        wait_(wait),
        nodes_(loop, config) {}

  int run() {
    from_ = steady_now();
    nodes_.run([this] { return step(); });
    return outcome_;
  }

 private:
  bool step() { return nodes_.published ? follow() : ask(); }

  // Until the writer has it on its disk.
  bool ask() {
    const auto now = steady_now();
    const auto& writer = *nodes_.find(config_.writer);
    if (nodes_.rejected) {
      outcome_ = fail(Outcome::refused,
                      "refused by " + config_.writer + ":\n" + with_name(*nodes_.rejected, document_));
      return true;
    }
    if (sent_) {
      if (writer.channel == sent_ && now - sent_at_ < kPatience) return false;
      outcome_ = fail(Outcome::unreachable, config_.writer + " has not said whether it kept the document (" +
                                                (writer.problem.empty() ? "no answer" : writer.problem) +
                                                "): see 'config status'");
      return true;
    }
    // A writer that was away does not know that it is none any more; the others do.
    if (const auto why = nodes_.deposed(config_.epoch); !why.empty()) {
      outcome_ = fail(Outcome::unreachable, config_.writer + " is not the writer any more: " + why);
      return true;
    }
    if (writer.welcome && writer.status && writer.status->writes && nodes_.asked()) {
      sent_ = writer.channel;
      sent_at_ = now;
      nodes_.publish(writer, text_);
      return false;
    }
    if (now - from_ < kWriter) return false;
    if (writer.status) {
      const auto& reign = writer.status->reign;
      outcome_ = fail(Outcome::unreachable, config_.writer + " does not write: it knows of epoch " +
                                                std::to_string(reign.epoch) + " of " + reign.writer);
    } else {
      outcome_ = fail(Outcome::unreachable, "the writer, " + config_.writer + ", is " + out_of_reach(writer));
    }
    return true;
  }

  // Until it is in force at all that are connected.
  bool follow() {
    const auto now = steady_now();
    const auto place = *nodes_.published;
    const auto name = control::to_text(place);
    if (!kept_) {
      kept_ = now;
      digest_ = control::digest_of({place, config_.writer, "", text_});
      std::printf("%s: kept by %s after %s\n", name.c_str(), config_.writer.c_str(),
                  show_ms(now - sent_at_).c_str());
    }
    const auto brokers = nodes_.brokers();
    const Count count(brokers, place, digest_);
    const auto line =
        name + ": " + std::to_string(count.in_force) + " of " + std::to_string(count.connected) + " brokers";
    if (const auto why = nodes_.deposed(place.epoch); !why.empty()) {
      outcome_ = fail(Outcome::unreachable, name + " comes into force nowhere: " + why);
      return true;
    }
    const bool late = now - *kept_ >= wait_;
    // Every node that can be reached has been asked since.
    const bool asked = std::ranges::all_of(nodes_.all(), [&](const auto& node) {
      return (node.status && node.welcome && node.asked_then >= *kept_) ||
             (!node.welcome && !node.problem.empty() && now - *kept_ >= kAgain + kAsk);
    });
    if (line != line_ && (asked || count.connected > 0)) {
      line_ = line;
      std::printf("%s\n", line.c_str());
      std::fflush(stdout);
    }
    if (!late && (!asked || !count.behind.empty())) return false;
    for (const auto& node : nodes_.all()) {
      if (!node.welcome)
        std::printf("%s: %s is %s; brokers that only it has heard are not counted\n", name.c_str(),
                    node.config.name.c_str(), out_of_reach(node).c_str());
    }
    print_refused(count.refused);
    if (!count.behind.empty())
      std::printf("%s: behind: %s\n", name.c_str(), joined(count.behind, show_behind).c_str());
    outcome_ = status_of(!count.refused.empty()            ? Outcome::refused
                         : !count.behind.empty() || !asked ? Outcome::behind
                                                           : Outcome::done);
    if (outcome_ == 0)
      std::printf("%s: in force at all %zu connected brokers after %s\n", name.c_str(), count.connected,
                  show_ms(now - *kept_).c_str());
    return true;
  }

  static constexpr Time kPatience = 10s;  // for the writer's disk

  const config::Control& config_;
  std::string document_, text_;
  Time wait_, from_{}, sent_at_{};
  Nodes nodes_;
  link::ChannelId sent_ = 0;
  std::optional<Time> kept_;
  std::string line_, digest_;
  int outcome_ = 0;
};

}  // namespace

int config_publish(const std::string& document, const std::string& file, Time wait) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  auto text = config::read_file(document, "document");
  if (text.size() > control::kMaxDocument)
    return fail(Outcome::refused,
                document + ":1:1: is longer than " + std::to_string(control::kMaxDocument) + " bytes");
  // Told here where that can be; the writer checks it all the same, by its own classes.
  if (!config.classes.empty()) {
    if (const auto problems = document_problems(text, document, config.classes); !problems.empty())
      return fail(Outcome::refused, "refused:\n" + problems);
  }
  try {
    (void)control::encode(control::Publish{text});
  } catch (const control::Malformed& error) {
    return fail(Outcome::refused, document + ": " + error.what());
  }
  ev::default_loop loop(0);
  return Publishing(loop, config, document, std::move(text), wait).run();
}

}  // namespace bellstair::app::config_tool
