#include "control/store.hpp"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace bellstair::control {
namespace {

constexpr int kApplication = 0x42535452;  // "BSTR", in the file's header
constexpr int kSchema = 1;

constexpr const char* kTables = R"(
  CREATE TABLE fleet (name TEXT NOT NULL);
  CREATE TABLE reign (epoch INTEGER NOT NULL, writer TEXT NOT NULL, digest TEXT NOT NULL);
  CREATE TABLE versions (epoch INTEGER NOT NULL, number INTEGER NOT NULL, writer TEXT NOT NULL,
                         digest TEXT NOT NULL, text TEXT NOT NULL, PRIMARY KEY (epoch, number)) WITHOUT ROWID;
)";

struct Failed : std::runtime_error {
  Failed(sqlite3* base, int code)
      : std::runtime_error(std::string(base == nullptr ? sqlite3_errstr(code) : sqlite3_errmsg(base)) + " (" +
                           std::to_string(base == nullptr ? code : sqlite3_extended_errcode(base)) + ")"),
        busy((code & 0xFF) == SQLITE_BUSY) {}
  bool busy;
};

class Statement {
 public:
  Statement(sqlite3* base, const char* text) : base_(base) {
    if (const int code = sqlite3_prepare_v2(base, text, -1, &statement_, nullptr); code != SQLITE_OK)
      throw Failed(base, code);
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(std::uint64_t value) {
    return took(sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(value)));
  }
  Statement& bind(const std::string& value) {
    return took(
        sqlite3_bind_text64(statement_, ++bound_, value.data(), value.size(), SQLITE_TRANSIENT, SQLITE_UTF8));
  }
  bool step() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) throw Failed(base_, code);
    return code == SQLITE_ROW;
  }
  [[nodiscard]] std::uint64_t number(int column) const {
    return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
  }
  [[nodiscard]] std::string text(int column) const {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
    return bytes == nullptr ? std::string() : std::string(bytes, size);
  }

 private:
  Statement& took(int code) {
    if (code != SQLITE_OK) throw Failed(base_, code);
    return *this;
  }
  sqlite3* base_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

void run(sqlite3* base, const char* text) {
  if (const int code = sqlite3_exec(base, text, nullptr, nullptr, nullptr); code != SQLITE_OK)
    throw Failed(base, code);
}

// One transaction: all of it on the disk, or nothing.
template <class Work>
void transact(sqlite3* base, Work work) {
  run(base, "BEGIN IMMEDIATE");
  try {
    work();
    run(base, "COMMIT");
  } catch (...) {
    if (sqlite3_get_autocommit(base) == 0) sqlite3_exec(base, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

std::string digest_of(const Reign& reign) {
  return control::digest_of(Version{{reign.epoch, 0}, reign.writer, {}, "reign"});
}

std::string why(int error) { return std::strerror(error); }

void sync_directory(const std::string& path) {
  const auto parent = std::filesystem::path(path).parent_path();
  const int fd = ::open(parent.empty() ? "." : parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) throw Store::Unusable(path + ": its directory: " + why(errno));
  const bool synced = ::fsync(fd) == 0;
  const int error = errno;
  ::close(fd);
  if (!synced) throw Store::Unusable(path + ": its directory: " + why(error));
}

}  // namespace

void Store::Closer::operator()(sqlite3* base) const { sqlite3_close_v2(base); }
Store::~Store() = default;
Store::Store(Store&&) noexcept = default;
Store& Store::operator=(Store&&) noexcept = default;

Store::Base Store::open(const std::string& path, bool make) {
  sqlite3* raw = nullptr;
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_FULLMUTEX | (make ? SQLITE_OPEN_CREATE : 0);
  const int code = sqlite3_open_v2(path.c_str(), &raw, flags, nullptr);
  Base base(raw);
  if (code != SQLITE_OK) throw Failed(raw, code);
  sqlite3_extended_result_codes(raw, 1);
  sqlite3_limit(raw, SQLITE_LIMIT_LENGTH, 8 << 20);  // bytes of a value, also in a damaged file
  run(raw, "PRAGMA trusted_schema=OFF");
  run(raw, "PRAGMA cell_size_check=ON");
  run(raw, "PRAGMA locking_mode=EXCLUSIVE");
  run(raw, "PRAGMA synchronous=EXTRA");
  return base;
}

// Beside its place first: a file under its own name is whole from its first moment, and an empty one is
// damage.
void Store::make(const std::string& path, const std::string& fleet) {
  const std::string beside = path + ".new." + std::to_string(::getpid());
  ::unlink(beside.c_str());
  {
    const Base base = open(beside, true);
    run(base.get(), "PRAGMA journal_mode=DELETE");
    run(base.get(), ("PRAGMA application_id=" + std::to_string(kApplication)).c_str());
    run(base.get(), ("PRAGMA user_version=" + std::to_string(kSchema)).c_str());
    transact(base.get(), [&] {
      run(base.get(), kTables);
      Statement(base.get(), "INSERT INTO fleet VALUES (?)").bind(fleet).step();
    });
  }
  const bool linked = ::link(beside.c_str(), path.c_str()) == 0;  // never over another's
  const int error = errno;
  ::unlink(beside.c_str());
  if (!linked && error != EEXIST) throw Unusable(path + ": " + why(error));
  sync_directory(path);
}

Store::Store(const std::string& path, const std::string& fleet, std::size_t most_versions)
    : path_(path), most_versions_(most_versions) {
  try {
    struct stat found {};
    if (::stat(path.c_str(), &found) != 0) {
      if (errno != ENOENT) throw Unusable(path + ": " + why(errno));
      make(path, fleet);
    } else if (!S_ISREG(found.st_mode)) {
      throw Unusable(path + ": not a file");
    } else if (found.st_size == 0) {
      throw Unusable(path + ": damaged: an empty file");
    }
    base_ = open(path, false);
    run(base_.get(), "BEGIN EXCLUSIVE");  // the lock stays when it ends
    run(base_.get(), "COMMIT");
    check(fleet);
  } catch (const Failed& failed) {
    throw Unusable(path + ": " + (failed.busy ? "in use by another process: " : "cannot be used: ") +
                   failed.what());
  }
}

void Store::check(const std::string& fleet) {
  const auto damaged = [this](const std::string& what) { return Unusable(path_ + ": damaged: " + what); };
  const auto pragma = [this](const char* text) {
    Statement in(base_.get(), text);
    return in.step() ? in.text(0) : std::string();
  };
  if (pragma("PRAGMA application_id") != std::to_string(kApplication))
    throw Unusable(path_ + ": not a store of a control node");
  if (const auto schema = pragma("PRAGMA user_version"); schema != std::to_string(kSchema))
    throw Unusable(path_ + ": schema " + schema + ", known is " + std::to_string(kSchema));
  if (const auto mode = pragma("PRAGMA journal_mode"); mode != "delete")
    throw Unusable(path_ + ": journal_mode is " + mode + ", not delete");
  if (const auto problem = pragma("PRAGMA integrity_check(1)"); problem != "ok") throw damaged(problem);
  {
    Statement in(base_.get(), "SELECT name FROM fleet");
    if (!in.step()) throw damaged("no fleet in it");
    if (in.text(0) != fleet) throw Unusable(path_ + ": of fleet " + in.text(0) + ", this one is " + fleet);
  }
  {
    Statement in(base_.get(), "SELECT epoch, writer, digest FROM reign");
    if (in.step()) {
      stored_.reign = {in.number(0), in.text(1)};
      if (in.text(2) != digest_of(stored_.reign)) throw damaged("the reign's digest is another");
    }
  }
  Statement in(base_.get(),
               "SELECT epoch, number, writer, digest, text FROM versions ORDER BY epoch, number");
  while (in.step()) {
    Version version{{in.number(0), in.number(1)}, in.text(2), in.text(3), in.text(4)};
    if (!whole(version)) throw damaged("version " + to_text(version.place) + ": its digest is another");
    stored_.newest = std::move(version);
  }
}

std::string Store::keep(const Version& version) {
  if (!whole(version)) return path_ + ": version " + to_text(version.place) + " is not whole";
  if (stored_.newest && version.place <= stored_.newest->place)
    return path_ + ": version " + to_text(version.place) + " is not above " + to_text(stored_.newest->place);
  try {
    transact(base_.get(), [&] {
      drop_unacknowledged();
      Statement(base_.get(), "INSERT INTO versions VALUES (?, ?, ?, ?, ?)")
          .bind(version.place.epoch)
          .bind(version.place.number)
          .bind(version.writer)
          .bind(version.digest)
          .bind(version.text)
          .step();
      Statement(base_.get(),
                "DELETE FROM versions WHERE (epoch, number) IN "
                "(SELECT epoch, number FROM versions ORDER BY epoch DESC, number DESC LIMIT -1 OFFSET ?)")
          .bind(most_versions_)
          .step();
    });
  } catch (const Failed& failed) {
    return path_ + ": " + failed.what() + undo_doubtful_commit();
  }
  stored_.newest = version;
  return {};
}

// Versions whose commit failed after its point of no return, as when the folder could not be synced: they are
// in the file, and nobody was told that they were kept. To be called within a transaction.
void Store::drop_unacknowledged() {
  const auto newest = stored_.newest ? stored_.newest->place : Place{};
  Statement(base_.get(), "DELETE FROM versions WHERE (epoch, number) > (?, ?)")
      .bind(newest.epoch)
      .bind(newest.number)
      .step();
}

// What is to be said of it beside the commit's own failure: nothing, where the file is as it was.
std::string Store::undo_doubtful_commit() {
  try {
    transact(base_.get(), [&] { drop_unacknowledged(); });
    return {};
  } catch (const Failed& failed) {
    return std::string("; it may be there after a restart, unless another is kept before: ") + failed.what();
  }
}

std::string Store::keep(const Reign& reign) {
  if (reign.epoch <= stored_.reign.epoch)
    return path_ + ": epoch " + std::to_string(reign.epoch) + " is not above " +
           std::to_string(stored_.reign.epoch);
  try {
    transact(base_.get(), [&] {
      run(base_.get(), "DELETE FROM reign");
      Statement(base_.get(), "INSERT INTO reign VALUES (?, ?, ?)")
          .bind(reign.epoch)
          .bind(reign.writer)
          .bind(digest_of(reign))
          .step();
    });
  } catch (const Failed& failed) {
    return path_ + ": " + failed.what();
  }
  stored_.reign = reign;
  return {};
}

std::size_t Store::versions() const {
  Statement in(base_.get(), "SELECT count(*) FROM versions");
  return in.step() ? in.number(0) : 0;
}

}  // namespace bellstair::control
