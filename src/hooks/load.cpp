#include "hooks/load.hpp"

#include <openssl/evp.h>

#include <atomic>
#include <fstream>
#include <sstream>

namespace bellstair::hooks {

std::string sha256(const std::string& text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  std::string out;
  for (unsigned i = 0; i < size; ++i) {
    out += "0123456789abcdef"[digest[i] >> 4U];
    out += "0123456789abcdef"[digest[i] & 15U];
  }
  return out;
}

LoadResult load(Set set, const SettingNames& names) {
  static std::atomic<HookId> last = 0;
  LoadResult out;
  for (auto& spec : set.hooks) {
    spec.id = ++last;
    const auto add_problem = [&](const std::string& what) {
      out.problems.push_back("hook \"" + spec.name + "\": " + what);
    };
    std::ifstream in(spec.path, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) {
      add_problem("cannot read '" + spec.path + "'");
      continue;
    }
    spec.source = std::move(text).str();
    if (spec.source.size() > kMaxScriptBytes) {
      add_problem("the script is longer than " + std::to_string(kMaxScriptBytes) + " bytes");
      continue;
    }
    spec.digest = sha256(spec.source);
    std::string problem;
    auto machine = Machine::make(spec, names, kMaxLoadTime, problem);
    if (machine) problem = machine->dry_run();
    if (!problem.empty()) add_problem(problem);
    out.machines.push_back(std::move(machine));
  }
  out.set = std::move(set);
  return out;
}

}  // namespace bellstair::hooks
