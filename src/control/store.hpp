// Where a control node persists its versions and the newest term: one SQLite file. What persist() has
// accepted is on the disk, and survives a loss of power.
//
// A rollback journal, not a WAL: a damaged byte in a WAL silently ends the log there, while here the one file
// holds everything and is checked when it is opened.
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
  static constexpr std::size_t kMaxVersions = 1024;  // the newest; older ones are deleted

  // Opens the file, or makes one where there is none, and checks all of it. It is locked until the Store is
  // destroyed. `fleet`: whose it must be. Throws StoreError; the file is left as it is then.
  Store(const std::string& path, const std::string& fleet, std::size_t max_versions = kMaxVersions);

  [[nodiscard]] const PersistedState& persisted() const { return state_; }

  // Durable where they return no error. With one nothing has changed, unless its message says that the
  // version may still be there after a restart.
  [[nodiscard]] std::optional<PersistError> persist(const Version& version);  // above all persisted
  [[nodiscard]] std::optional<PersistError> persist(const LeaderTerm& term);  // newer than the persisted one

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
