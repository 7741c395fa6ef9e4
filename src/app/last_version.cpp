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

constexpr std::size_t kHeaderBytes = 1024;  // limit for the lines of digest and fleet
constexpr std::size_t kMaxFileBytes = control::kMaxMessageBytes + kHeaderBytes;
constexpr std::size_t kReadBytes = 16384;

LastVersionError io_error(const std::string& path, int error) {
  return {LastVersionFault::io, path + ": " + std::strerror(error)};
}

std::string digest_of(const std::string& body) { return control::compute_digest({{}, "", "", body}); }

// Stops soon after kMaxFileBytes; parse() rejects a longer file.
std::optional<LastVersionError> read_all(const std::string& path, int fd, std::string& out) {
  struct stat found {};
  if (::fstat(fd, &found) != 0 || !S_ISREG(found.st_mode))
    return LastVersionError(LastVersionFault::io, path + ": is not a regular file");
  char buffer[kReadBytes];
  while (out.size() <= kMaxFileBytes) {
    const auto got = ::read(fd, buffer, sizeof buffer);
    if (got < 0 && errno != EINTR) return io_error(path, errno);
    if (got == 0) break;
    if (got > 0) out.append(buffer, static_cast<std::size_t>(got));
  }
  return std::nullopt;
}

std::optional<LastVersionError> write_and_sync(const std::string& path, const std::string& text) {
  const net::Fd fd(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0644));
  if (!fd) return io_error(path, errno);
  for (std::size_t done = 0; done < text.size();) {
    const auto written = ::write(fd.get(), text.data() + done, text.size() - done);
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return io_error(path, errno);
    done += static_cast<std::size_t>(written);
  }
  if (::fsync(fd.get()) != 0) return io_error(path, errno);
  return std::nullopt;
}

// A rename is durable only after the directory is synced.
std::optional<LastVersionError> sync_directory_of(const std::string& path) {
  const auto parent = std::filesystem::path(path).parent_path();
  const net::Fd fd(::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (fd && ::fsync(fd.get()) == 0) return std::nullopt;
  return io_error(path + ": its directory", errno);
}

}  // namespace

LastVersionFile::Loaded LastVersionFile::load() const {
  if (path_.empty()) return {};
  const net::Fd fd(::open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  if (!fd && errno == ENOENT) return {};
  if (!fd) return {std::nullopt, io_error(path_, errno)};
  std::string text;
  if (auto error = read_all(path_, fd.get(), text)) return {std::nullopt, std::move(error)};
  if (auto version = parse(text)) return {std::move(version), std::nullopt};
  const auto renamed = path_ + ".damaged";
  const bool done = ::rename(path_.c_str(), renamed.c_str()) == 0;
  return {std::nullopt, LastVersionError(LastVersionFault::damaged,
                                         path_ + " is damaged or of another fleet" +
                                             (done ? ", and was renamed to " + renamed : "") +
                                             ": the broker has no version until it reaches a control node")};
}

std::optional<LastVersionError> LastVersionFile::write(const control::Version& version) const {
  if (path_.empty()) return std::nullopt;
  const auto body = fleet_ + '\n' + control::encode(control::VersionUpdate{version});
  const auto temporary = path_ + ".new";
  if (auto error = write_and_sync(temporary, digest_of(body) + '\n' + body)) {
    ::unlink(temporary.c_str());
    return error;
  }
  if (::rename(temporary.c_str(), path_.c_str()) != 0) {
    auto error = io_error(path_, errno);
    ::unlink(temporary.c_str());
    return error;
  }
  return sync_directory_of(path_);
}

// Returns none if the file is damaged or of another fleet.
std::optional<control::Version> LastVersionFile::parse(const std::string& text) const {
  const auto digest_end = text.find('\n');
  if (digest_end == std::string::npos || text.size() > kMaxFileBytes) return std::nullopt;
  const auto fleet_end = text.find('\n', digest_end + 1);
  if (fleet_end == std::string::npos) return std::nullopt;
  if (text.substr(0, digest_end) != digest_of(text.substr(digest_end + 1))) return std::nullopt;
  if (text.substr(digest_end + 1, fleet_end - digest_end - 1) != fleet_) return std::nullopt;
  try {
    auto message = control::decode(std::string_view(text).substr(fleet_end + 1));
    auto* update = std::get_if<control::VersionUpdate>(&message);
    if (update == nullptr || !control::is_intact(update->version)) return std::nullopt;
    return std::move(update->version);
  } catch (const control::MalformedMessage&) {
    return std::nullopt;
  }
}

}  // namespace bellstair::app
