// A wrapper of SQLite's C interface that reports errors as exceptions and closes its handles.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/error.hpp"

struct sqlite3;
struct sqlite3_stmt;

namespace bellstair::control::sqlite {

enum class Fault {
  locked,  // the file is locked by another process
  other,   // what() contains SQLite's message and extended code
};
using SqliteError = CodedError<Fault>;

struct DatabaseCloser {
  void operator()(sqlite3* database) const;
};
using Database = std::unique_ptr<sqlite3, DatabaseCloser>;

// Opens the file; creates a missing one if `create` is set. Each commit also syncs the directory
// (synchronous=EXTRA), and the file is locked from the first transaction on. Throws SqliteError.
[[nodiscard]] Database open(const std::string& path, bool create);

// Runs statements that return no rows. Throws SqliteError.
void execute(sqlite3* database, const std::string& sql);

// A prepared statement with its parameters and result rows. Every member throws SqliteError.
class Statement {
 public:
  Statement(sqlite3* database, const char* sql);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // Binds the next parameter.
  Statement& bind(std::uint64_t value);
  Statement& bind(const std::string& value);
  // Returns false if there are no more rows.
  bool step();
  // Columns of the current row, from 0.
  [[nodiscard]] std::uint64_t number(int column) const;
  [[nodiscard]] std::string text(int column) const;

 private:
  Statement& check(int code);

  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

// Rolls back on destruction unless commit() has returned.
class Transaction {
 public:
  explicit Transaction(sqlite3* database);
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  void commit();

 private:
  sqlite3* database_;
};

}  // namespace bellstair::control::sqlite
