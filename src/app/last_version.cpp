#include "app/last_version.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <utility>

#include "control/message.hpp"
#include "net/socket.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

constexpr std::size_t kMaxBytes = control::kMaxMessage + 1024;
// Between tries to write: a disk that is full may be so for long.
constexpr core::Time kRetryLeast = 500ms, kRetryMost = 30s;

std::string digest(const std::string& body) { return control::digest_of({{}, "", "", body}); }

std::string read_whole(int fd, std::string& out) {
  struct stat is {};
  if (::fstat(fd, &is) != 0 || !S_ISREG(is.st_mode)) return "is not a file";
  char buffer[16384];
  while (out.size() <= kMaxBytes) {
    const auto got = ::read(fd, buffer, sizeof buffer);
    if (got < 0 && errno != EINTR) return std::strerror(errno);
    if (got == 0) break;
    if (got > 0) out.append(buffer, static_cast<std::size_t>(got));
  }
  return "";
}

std::string write_and_sync(const std::string& path, const std::string& text) {
  const net::Fd fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0644));
  if (!fd) return std::strerror(errno);
  for (std::size_t done = 0; done < text.size();) {
    const auto put = ::write(fd.get(), text.data() + done, text.size() - done);
    if (put < 0 && errno == EINTR) continue;
    if (put < 0) return std::strerror(errno);
    done += static_cast<std::size_t>(put);
  }
  return ::fsync(fd.get()) == 0 ? "" : std::strerror(errno);
}

// A name is on the disk only with its folder.
std::string sync_folder_of(const std::string& path) {
  const auto parent = std::filesystem::path(path).parent_path();
  const net::Fd fd(::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return fd && ::fsync(fd.get()) == 0 ? "" : std::string("its folder: ") + std::strerror(errno);
}
}  // namespace

std::string LastVersionFile::read(std::optional<control::Version>& out) const {
  std::string text;
  if (path_.empty()) return "";
  const net::Fd fd(::open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!fd) return errno == ENOENT ? "" : path_ + ": " + std::strerror(errno);
  if (const auto problem = read_whole(fd.get(), text); !problem.empty()) return path_ + ": " + problem;
  out = parse(text);
  if (out) return "";
  const auto aside = path_ + ".damaged";
  const bool moved = ::rename(path_.c_str(), aside.c_str()) == 0;
  return path_ + " is damaged" + (moved ? ", and is now " + aside : "") +
         ": no version is known until a node is in reach";
}

std::string LastVersionFile::write(const control::Version& version) const {
  if (path_.empty()) return "";
  const auto body = fleet_ + '\n' + control::encode(control::Offer{version});
  const auto beside = path_ + ".new";
  if (const auto problem = write_and_sync(beside, digest(body) + '\n' + body); !problem.empty()) {
    ::unlink(beside.c_str());  // half a file only takes room
    return beside + ": " + problem;
  }
  if (::rename(beside.c_str(), path_.c_str()) != 0) {
    const std::string problem = std::strerror(errno);
    ::unlink(beside.c_str());
    return path_ + ": " + problem;
  }
  const auto problem = sync_folder_of(path_);
  return problem.empty() ? "" : path_ + ": " + problem;
}

std::optional<control::Version> LastVersionFile::parse(const std::string& text) const {
  const auto first = text.find('\n');
  const auto second = first == std::string::npos ? first : text.find('\n', first + 1);
  if (second == std::string::npos || text.size() > kMaxBytes) return std::nullopt;
  if (text.substr(0, first) != digest(text.substr(first + 1))) return std::nullopt;
  if (text.substr(first + 1, second - first - 1) != fleet_) return std::nullopt;
  try {
    auto message = control::decode(std::string_view(text).substr(second + 1));
    auto* offer = std::get_if<control::Offer>(&message);
    if (offer == nullptr || !control::whole(offer->version)) return std::nullopt;
    return std::move(offer->version);
  } catch (const control::Malformed&) {
    return std::nullopt;
  }
}

LastVersionWriter::LastVersionWriter(ev::loop_ref loop, LastVersionFile file, control::Place kept,
                                     std::uint64_t seed, Say say)
    : file_(std::move(file)),
      kept_(kept),
      backoff_(kRetryLeast, kRetryMost, seed),
      say_(std::move(say)),
      worker_(std::in_place, loop) {}

LastVersionWriter::~LastVersionWriter() {
  worker_.reset();
  if (wanted_) (void)file_.write(*wanted_);
}

void LastVersionWriter::keep(const control::Version& version) {
  if (!file_.used() || version.place <= kept_) return;
  wanted_ = version;
  next_try_ = {};
  backoff_.succeeded();
  if (!writing_) write();
}

void LastVersionWriter::tick(core::Time now) {
  now_ = now;
  if (wanted_ && !writing_ && now_ >= next_try_) write();
}

void LastVersionWriter::write() {
  writing_ = true;
  worker_->later([this, file = file_, version = *wanted_]() -> std::function<void()> {
    auto problem = file.write(version);
    return [this, place = version.place, problem = std::move(problem)] { written(place, problem); };
  });
}

void LastVersionWriter::written(const control::Place& place, const std::string& problem) {
  writing_ = false;
  if (problem.empty()) {
    kept_ = place;
    told_.reset();
    if (wanted_->place <= kept_) wanted_.reset();
    return;
  }
  next_try_ = now_ + backoff_.after_failure();
  if (told_ == place) return;
  told_ = place;
  say_("control: version " + control::to_text(place) + " is not kept for a restart: " + problem);
}

}  // namespace bellstair::app
