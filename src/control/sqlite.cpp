#include "control/sqlite.hpp"

#include <sqlite3.h>

namespace bellstair::control::sqlite {
namespace {

constexpr int kMaxValueBytes = 8 << 20;  // bounds memory if the file is damaged
constexpr int kPrimaryCodeMask = 0xFF;   // of an extended result code

[[noreturn]] void fail(sqlite3* database, int code) {
  const std::string message = database == nullptr ? sqlite3_errstr(code) : sqlite3_errmsg(database);
  const int extended = database == nullptr ? code : sqlite3_extended_errcode(database);
  const auto fault = (code & kPrimaryCodeMask) == SQLITE_BUSY ? Fault::locked : Fault::other;
  throw SqliteError(fault, message + " (" + std::to_string(extended) + ")");
}

}  // namespace

void DatabaseCloser::operator()(sqlite3* database) const { sqlite3_close_v2(database); }

Database open(const std::string& path, bool create) {
  sqlite3* raw = nullptr;
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_FULLMUTEX | (create ? SQLITE_OPEN_CREATE : 0);
  const int code = sqlite3_open_v2(path.c_str(), &raw, flags, nullptr);
  Database database(raw);
  if (code != SQLITE_OK) fail(raw, code);
  sqlite3_extended_result_codes(raw, 1);
  sqlite3_limit(raw, SQLITE_LIMIT_LENGTH, kMaxValueBytes);
  execute(raw, "PRAGMA trusted_schema=OFF");
  execute(raw, "PRAGMA cell_size_check=ON");
  execute(raw, "PRAGMA locking_mode=EXCLUSIVE");
  execute(raw, "PRAGMA synchronous=EXTRA");
  return database;
}

void execute(sqlite3* database, const std::string& sql) {
  if (const int code = sqlite3_exec(database, sql.c_str(), nullptr, nullptr, nullptr); code != SQLITE_OK)
    fail(database, code);
}

Statement::Statement(sqlite3* database, const char* sql) : database_(database) {
  if (const int code = sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr); code != SQLITE_OK)
    fail(database, code);
}

Statement::~Statement() { sqlite3_finalize(statement_); }

Statement& Statement::bind(std::uint64_t value) {
  return check(sqlite3_bind_int64(statement_, ++bound_, static_cast<sqlite3_int64>(value)));
}

Statement& Statement::bind(const std::string& value) {
  return check(
      sqlite3_bind_text64(statement_, ++bound_, value.data(), value.size(), SQLITE_TRANSIENT, SQLITE_UTF8));
}

bool Statement::step() {
  const int code = sqlite3_step(statement_);
  if (code != SQLITE_ROW && code != SQLITE_DONE) fail(database_, code);
  return code == SQLITE_ROW;
}

std::uint64_t Statement::number(int column) const {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
}

std::string Statement::text(int column) const {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
  const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement_, column));
  return bytes == nullptr ? std::string() : std::string(bytes, size);
}

Statement& Statement::check(int code) {
  if (code != SQLITE_OK) fail(database_, code);
  return *this;
}

Transaction::Transaction(sqlite3* database) : database_(database) { execute(database, "BEGIN IMMEDIATE"); }

Transaction::~Transaction() {
  // Autocommit is on after a commit, or after a rollback by SQLite itself.
  if (sqlite3_get_autocommit(database_) == 0) sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
}

void Transaction::commit() { execute(database_, "COMMIT"); }

}  // namespace bellstair::control::sqlite
