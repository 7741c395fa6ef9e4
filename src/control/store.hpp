// The store in which a control node persists its versions and the newest term: one SQLite file. Data for
// which persist() returned no error is on disk and survives a power failure.
//
// The database uses a rollback journal instead of a WAL: a damaged byte in a WAL silently ends the log at
// that point, while a single file contains everything and is checked when it is opened.
#pragma once

#include <optional>
#include <string>

#include "control/node.hpp"
#include "control/persist_error.hpp"
#include "control/sqlite.hpp"

namespace bellstair::control {

enum class StoreFault {
  inaccessible,  // the file or its directory cannot be used
  in_use,        // by another process
  damaged,
  foreign,  // of another fleet, schema or program
};
using StoreError = CodedError<StoreFault>;

class Store {
 public:
  static constexpr std::size_t kMaxVersions = 1024;  // the newest are kept; older ones are deleted

  // Opens or creates the file and checks its whole content. The file is locked until the Store is destroyed,
  // and must belong to `fleet`. Throws StoreError, and then leaves the file unchanged.
  Store(const std::string& path, const std::string& fleet, std::size_t max_versions = kMaxVersions);

  [[nodiscard]] const PersistedState& persisted() const { return state_; }

  // Both accept only what is newer than everything of its kind that is persisted. The data is durable if no
  // error is returned. After an error nothing has changed, unless the error's text states that the version
  // may be present after a restart.
  [[nodiscard]] std::optional<PersistError> persist(const Version& version);
  [[nodiscard]] std::optional<PersistError> persist(const LeaderTerm& term);

  [[nodiscard]] std::size_t version_count() const;

 private:
  static void create(const std::string& path, const std::string& fleet);
  void open_or_create(const std::string& fleet);
  void load(const std::string& fleet);
  void check_schema() const;
  void check_fleet(const std::string& fleet) const;
  void load_term();
  void load_versions();
  [[nodiscard]] StoreError damaged(const std::string& what) const;
  void insert(const Version& version);
  void delete_old_versions();
  void delete_uncommitted_versions();
  [[nodiscard]] std::string undo_failed_commit();

  std::string path_;
  std::size_t max_versions_;
  sqlite::Database database_;
  PersistedState state_;
};

}  // namespace bellstair::control
