#include "control/store.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace bellstair::control {
namespace {

using sqlite::SqliteError;
using sqlite::Statement;
using sqlite::Transaction;

constexpr int kApplicationId = 0x42535452;  // "BSTR", in the file's header
constexpr int kSchemaVersion = 1;

// Names in the file differ from those in the code: reign is the LeaderTerm, writer is its leader.
constexpr const char* kSchema = R"(
  CREATE TABLE fleet (name TEXT NOT NULL);
  CREATE TABLE reign (epoch INTEGER NOT NULL, writer TEXT NOT NULL, digest TEXT NOT NULL);
  CREATE TABLE versions (epoch INTEGER NOT NULL, number INTEGER NOT NULL, writer TEXT NOT NULL,
                         digest TEXT NOT NULL, text TEXT NOT NULL, PRIMARY KEY (epoch, number)) WITHOUT ROWID;
)";

std::string compute_digest(const LeaderTerm& term) {
  return control::compute_digest(Version{{term.epoch, 0}, term.leader, {}, "reign"});
}

StoreError inaccessible(const std::string& path, int error) {
  return {StoreFault::inaccessible, path + ": " + std::strerror(error)};
}

void sync_directory_of(const std::string& path) {
  const auto parent = std::filesystem::path(path).parent_path();
  const int fd = ::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) throw inaccessible(path + ": its directory", errno);
  const bool synced = ::fsync(fd) == 0;
  const int error = errno;
  ::close(fd);
  if (!synced) throw inaccessible(path + ": its directory", error);
}

std::string read_pragma(sqlite3* database, const char* sql) {
  Statement rows(database, sql);
  return rows.step() ? rows.text(0) : std::string();
}

}  // namespace

Store::Store(const std::string& path, const std::string& fleet, std::size_t max_versions)
    : path_(path), max_versions_(max_versions) {
  try {
    open_or_create(fleet);
    load(fleet);
  } catch (const SqliteError& error) {
    if (error.code() == sqlite::Fault::locked)
      throw StoreError(StoreFault::in_use, path_ + ": in use by another process: " + error.what());
    throw StoreError(StoreFault::inaccessible, path_ + ": cannot be used: " + error.what());
  }
}

void Store::open_or_create(const std::string& fleet) {
  struct stat found {};
  if (::stat(path_.c_str(), &found) != 0) {
    if (errno != ENOENT) throw inaccessible(path_, errno);
    create(path_, fleet);
  } else if (!S_ISREG(found.st_mode)) {
    throw StoreError(StoreFault::inaccessible, path_ + ": not a regular file");
  } else if (found.st_size == 0) {
    throw damaged("the file is empty");
  }
  database_ = sqlite::open(path_, false);
  // In exclusive locking mode the lock is held after the end of the transaction.
  sqlite::execute(database_.get(), "BEGIN EXCLUSIVE");
  sqlite::execute(database_.get(), "COMMIT");
}

// Creates the file under a temporary name and then links it, so that a file under the final name is always
// complete.
void Store::create(const std::string& path, const std::string& fleet) {
  const std::string temporary = path + ".new." + std::to_string(::getpid());
  ::unlink(temporary.c_str());
  {
    const auto database = sqlite::open(temporary, true);
    sqlite::execute(database.get(), "PRAGMA journal_mode=DELETE");
    sqlite::execute(database.get(), "PRAGMA application_id=" + std::to_string(kApplicationId));
    sqlite::execute(database.get(), "PRAGMA user_version=" + std::to_string(kSchemaVersion));
    Transaction transaction(database.get());
    sqlite::execute(database.get(), kSchema);
    Statement(database.get(), "INSERT INTO fleet VALUES (?)").bind(fleet).step();
    transaction.commit();
  }
  // Unlike rename(), link() never replaces a file that another process has created.
  const bool linked = ::link(temporary.c_str(), path.c_str()) == 0;
  const int error = errno;
  ::unlink(temporary.c_str());
  if (!linked && error != EEXIST) throw inaccessible(path, error);
  sync_directory_of(path);
}

void Store::load(const std::string& fleet) {
  check_schema();
  check_fleet(fleet);
  load_term();
  load_versions();
}

StoreError Store::damaged(const std::string& what) const {
  return {StoreFault::damaged, path_ + ": damaged: " + what};
}

void Store::check_schema() const {
  auto* const database = database_.get();
  const auto foreign = [this](const std::string& what) {
    return StoreError(StoreFault::foreign, path_ + ": " + what);
  };
  if (read_pragma(database, "PRAGMA application_id") != std::to_string(kApplicationId))
    throw foreign("not a store of a control node");
  if (const auto schema = read_pragma(database, "PRAGMA user_version");
      schema != std::to_string(kSchemaVersion))
    throw foreign("schema version " + schema + " is not supported; expected version " +
                  std::to_string(kSchemaVersion));
  if (const auto mode = read_pragma(database, "PRAGMA journal_mode"); mode != "delete")
    throw foreign("journal_mode is " + mode + ", not delete");
  if (const auto result = read_pragma(database, "PRAGMA integrity_check(1)"); result != "ok")
    throw damaged(result);
}

void Store::check_fleet(const std::string& fleet) const {
  Statement rows(database_.get(), "SELECT name FROM fleet");
  if (!rows.step()) throw damaged("its fleet table is empty");
  if (rows.text(0) != fleet)
    throw StoreError(StoreFault::foreign,
                     path_ + ": belongs to fleet " + rows.text(0) + ", not to fleet " + fleet);
}

void Store::load_term() {
  Statement rows(database_.get(), "SELECT epoch, writer, digest FROM reign");
  if (!rows.step()) return;
  state_.term = {rows.number(0), rows.text(1)};
  if (rows.text(2) != compute_digest(state_.term))
    throw damaged("the digest of the leader term does not match its content");
}

void Store::load_versions() {
  Statement rows(database_.get(),
                 "SELECT epoch, number, writer, digest, text FROM versions ORDER BY epoch, number");
  while (rows.step()) {
    Version version{{rows.number(0), rows.number(1)}, rows.text(2), rows.text(3), rows.text(4)};
    if (!is_intact(version))
      throw damaged("version " + to_text(version.id) + ": its digest does not match its content");
    state_.committed = std::move(version);
  }
}

std::optional<PersistError> Store::persist(const Version& version) {
  const std::string subject = path_ + ": version " + to_text(version.id);
  if (!is_intact(version)) return PersistError(PersistFault::damaged, subject + " does not match its digest");
  if (state_.committed && version.id <= state_.committed->id)
    return PersistError(PersistFault::not_newer,
                        subject + " is not newer than the stored version " + to_text(state_.committed->id));
  try {
    Transaction transaction(database_.get());
    delete_uncommitted_versions();
    insert(version);
    delete_old_versions();
    transaction.commit();
  } catch (const SqliteError& error) {
    return PersistError(PersistFault::io, path_ + ": " + error.what() + undo_failed_commit());
  }
  state_.committed = version;
  return std::nullopt;
}

void Store::insert(const Version& version) {
  Statement(database_.get(), "INSERT INTO versions VALUES (?, ?, ?, ?, ?)")
      .bind(version.id.epoch)
      .bind(version.id.number)
      .bind(version.leader)
      .bind(version.digest)
      .bind(version.text)
      .step();
}

void Store::delete_old_versions() {
  Statement(database_.get(),
            "DELETE FROM versions WHERE (epoch, number) IN "
            "(SELECT epoch, number FROM versions ORDER BY epoch DESC, number DESC LIMIT -1 OFFSET ?)")
      .bind(max_versions_)
      .step();
}

// A commit may fail after its data has reached the file, for example when the directory cannot be synced: the
// version is then in the file although its persist() returned an error. Must be called within a transaction.
void Store::delete_uncommitted_versions() {
  const auto committed = state_.committed ? state_.committed->id : VersionId{};
  Statement(database_.get(), "DELETE FROM versions WHERE (epoch, number) > (?, ?)")
      .bind(committed.epoch)
      .bind(committed.number)
      .step();
}

// Returns a text to append to the commit's error: empty if the file is as it was before the commit.
std::string Store::undo_failed_commit() {
  try {
    Transaction transaction(database_.get());
    delete_uncommitted_versions();
    transaction.commit();
    return {};
  } catch (const SqliteError& error) {
    return std::string(
               "; the version may be present after a restart, unless another one is persisted first: ") +
           error.what();
  }
}

std::optional<PersistError> Store::persist(const LeaderTerm& term) {
  if (term.epoch <= state_.term.epoch)
    return PersistError(PersistFault::not_newer, path_ + ": epoch " + std::to_string(term.epoch) +
                                                     " is not newer than the stored epoch " +
                                                     std::to_string(state_.term.epoch));
  try {
    Transaction transaction(database_.get());
    sqlite::execute(database_.get(), "DELETE FROM reign");
    Statement(database_.get(), "INSERT INTO reign VALUES (?, ?, ?)")
        .bind(term.epoch)
        .bind(term.leader)
        .bind(compute_digest(term))
        .step();
    transaction.commit();
  } catch (const SqliteError& error) {
    return PersistError(PersistFault::io, path_ + ": " + error.what());
  }
  state_.term = term;
  return std::nullopt;
}

std::size_t Store::version_count() const {
  Statement rows(database_.get(), "SELECT count(*) FROM versions");
  return rows.step() ? rows.number(0) : 0;
}

}  // namespace bellstair::control
