// Writes a broker's last version to its file on a worker thread.
#pragma once

#include <ev++.h>

#include <functional>
#include <optional>
#include <string>

#include "app/last_version.hpp"
#include "core/events.hpp"
#include "net/backoff.hpp"
#include "net/worker.hpp"

namespace bellstair::app {

// Persists the newest version; retries with a backoff until the write succeeds.
class LastVersionWriter {
 public:
  using WriteLog = std::function<void(const std::string& line)>;

  // `persisted`: the version that the file holds. `seed`: of the backoff's jitter.
  LastVersionWriter(ev::loop_ref loop, LastVersionFile file, control::VersionId persisted, std::uint64_t seed,
                    WriteLog write_log);

  // Tries once more to write a pending version, and blocks until that is done.
  ~LastVersionWriter();
  LastVersionWriter(const LastVersionWriter&) = delete;
  LastVersionWriter& operator=(const LastVersionWriter&) = delete;

  void persist(const control::Version& version);  // replaces an older pending version
  void tick(core::Time now);                      // steady clock

  // The version that the file holds durably.
  [[nodiscard]] const control::VersionId& persisted() const { return persisted_; }
  // The version whose failed write was logged; none once it or a newer one is persisted.
  [[nodiscard]] const std::optional<control::VersionId>& unpersisted() const { return logged_failure_; }

 private:
  void write();
  void on_written(const control::VersionId& id, const std::optional<LastVersionError>& error);

  LastVersionFile file_;
  control::VersionId persisted_;
  std::optional<control::Version> pending_;
  bool writing_ = false;
  std::optional<control::VersionId> logged_failure_;
  net::Backoff backoff_;
  core::Time now_{}, retry_at_{};
  WriteLog write_log_;
  std::optional<net::Worker> worker_;
};

}  // namespace bellstair::app
