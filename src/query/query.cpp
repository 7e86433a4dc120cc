#include "query/query.hpp"

#include <sqlite3.h>

#include <memory>

namespace tulip::query {
namespace {

struct Column {
  const char* name;
  const char* type;
};

struct Shape {
  const char* name;
  std::vector<Column> columns;
};

const std::vector<Shape>& shapes() {
  static const std::vector<Shape> all{
      {"jobs",
       {{"id", "TEXT"},
        {"pending", "TEXT"},
        {"state", "TEXT"},
        {"reason", "TEXT"},
        {"gang", "INTEGER"},
        {"lane", "INTEGER"},
        {"acceptedMs", "INTEGER"},
        {"firstStartMs", "INTEGER"},
        {"finishedMs", "INTEGER"},
        {"servedSlotMs", "INTEGER"},
        {"preemptions", "INTEGER"},
        {"promotions", "INTEGER"},
        {"tasksDone", "INTEGER"},
        {"taskCount", "INTEGER"}}},
      {"tasks",
       {{"job", "TEXT"},
        {"name", "TEXT"},
        {"state", "TEXT"},
        {"slots", "INTEGER"},
        {"attempts", "INTEGER"},
        {"failures", "INTEGER"},
        {"worker", "TEXT"},
        {"run", "TEXT"},
        {"detail", "TEXT"}}},
      {"workers",
       {{"worker", "TEXT"},
        {"cell", "TEXT"},
        {"pool", "TEXT"},
        {"slots", "INTEGER"},
        {"slotsHeld", "INTEGER"},
        {"runs", "INTEGER"},
        {"leaving", "INTEGER"},
        {"usable", "INTEGER"},
        {"shunned", "INTEGER"},
        {"clean", "INTEGER"},
        {"failed", "INTEGER"},
        {"pace", "REAL"}}},
      {"members",
       {{"id", "TEXT"},
        {"role", "TEXT"},
        {"cell", "TEXT"},
        {"http", "TEXT"},
        {"signal", "TEXT"},
        {"revision", "INTEGER"},
        {"ready", "INTEGER"},
        {"ageMs", "INTEGER"}}},
      {"configuration", {{"path", "TEXT"}, {"value", "TEXT"}}},
  };
  return all;
}

struct Closer {
  void operator()(sqlite3* base) const { sqlite3_close(base); }
  void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using Base = std::unique_ptr<sqlite3, Closer>;
using Statement = std::unique_ptr<sqlite3_stmt, Closer>;

int onlyReads(void*, int action, const char*, const char* what, const char*, const char*) {
  if (action == SQLITE_SELECT || action == SQLITE_READ || action == SQLITE_RECURSIVE) return SQLITE_OK;
  if (action == SQLITE_FUNCTION) return what && std::string_view(what) == "load_extension" ? SQLITE_DENY : SQLITE_OK;
  return SQLITE_DENY;
}

constexpr int kStepsEach = 1000;  // of sqlite, between two looks at the bound
constexpr int kMostValueBytes = 1 << 22;

int stepBound(void* left) { return --*static_cast<std::int64_t*>(left) <= 0; }

void bind(sqlite3_stmt* statement, int at, const json_t* value) {
  if (json_is_string(value))
    sqlite3_bind_text(statement, at, json_string_value(value), -1, SQLITE_TRANSIENT);
  else if (json_is_integer(value))
    sqlite3_bind_int64(statement, at, json_integer_value(value));
  else if (json_is_real(value))
    sqlite3_bind_double(statement, at, json_real_value(value));
  else if (json_is_boolean(value))
    sqlite3_bind_int(statement, at, json_is_true(value));
  else
    sqlite3_bind_null(statement, at);
}

void fill(sqlite3* base, const Shape& shape, const json_t* list) {
  std::string marks;
  for (std::size_t i = 0; i < shape.columns.size(); ++i) marks += i ? ",?" : "?";
  sqlite3_stmt* raw = nullptr;
  sqlite3_prepare_v2(base, ("INSERT INTO " + std::string(shape.name) + " VALUES(" + marks + ")").c_str(), -1, &raw,
                     nullptr);
  Statement insert(raw);
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    const json_t* item = json_array_get(list, i);
    for (std::size_t k = 0; k < shape.columns.size(); ++k)
      bind(insert.get(), static_cast<int>(k) + 1, json_object_get(item, shape.columns[k].name));
    sqlite3_step(insert.get());
    sqlite3_reset(insert.get());
  }
}

void flatten(const json_t* value, const std::string& path, json_t* list) {
  if (json_is_object(value)) {
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) flatten(item, path + "/" + key, list);
    return;
  }
  json_t* row = json_object();
  json_object_set_new(row, "path", jsonText(path));
  json_object_set_new(row, "value", jsonText(json_is_string(value) ? json_string_value(value) : dumpJson(value)));
  json_array_append_new(list, row);
}

Base openBase() {
  sqlite3* raw = nullptr;
  const int opened =
      sqlite3_open_v2(":memory:", &raw, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_MEMORY, nullptr);
  Base base(raw);
  return opened == SQLITE_OK ? std::move(base) : nullptr;
}

void createTables(sqlite3* base, const json_t* snapshot) {
  sqlite3_exec(base, "BEGIN", nullptr, nullptr, nullptr);
  const Json flat(json_array());
  flatten(json_object_get(snapshot, "configuration"), "", flat.get());
  for (const auto& shape : shapes()) {
    std::string columns;
    for (const auto& column : shape.columns)
      columns += (columns.empty() ? "" : ",") + std::string(column.name) + " " + column.type;
    sqlite3_exec(base, ("CREATE TABLE " + std::string(shape.name) + "(" + columns + ")").c_str(), nullptr, nullptr,
                 nullptr);
    const bool configuration = std::string_view(shape.name) == "configuration";
    fill(base, shape, configuration ? flat.get() : json_object_get(snapshot, shape.name));
  }
  sqlite3_exec(base, "COMMIT", nullptr, nullptr, nullptr);
}

// `left` is counted down while a statement runs, and must live as long as the base is used.
void bound(sqlite3* base, std::int64_t& left) {
  sqlite3_set_authorizer(base, onlyReads, nullptr);
  sqlite3_limit(base, SQLITE_LIMIT_LENGTH, kMostValueBytes);
  sqlite3_limit(base, SQLITE_LIMIT_ATTACHED, 0);
  sqlite3_progress_handler(base, kStepsEach, stepBound, &left);
}

Statement prepare(sqlite3* base, const std::string& sql, std::string& detail) {
  sqlite3_stmt* raw = nullptr;
  const char* rest = nullptr;
  const int prepared = sqlite3_prepare_v2(base, sql.c_str(), -1, &raw, &rest);
  Statement statement(raw);
  if (prepared != SQLITE_OK || !raw) {
    detail = raw ? "" : sqlite3_errmsg(base);
    if (detail == "not authorized") detail = "only SELECT is taken";
    if (detail.empty() || detail == "not an error") detail = "one SELECT statement";
    return nullptr;
  }
  const bool more = std::string_view(rest).find_first_not_of(" \t\r\n;") != std::string_view::npos;
  if (!more && sqlite3_stmt_readonly(raw)) return statement;
  detail = "one SELECT statement";
  return nullptr;
}

std::error_code readRows(sqlite3* base, sqlite3_stmt* statement, std::size_t mostRows, Table& table,
                         std::string& detail) {
  const int width = sqlite3_column_count(statement);
  for (int i = 0; i < width; ++i) table.columns.emplace_back(sqlite3_column_name(statement, i));
  while (true) {
    const int step = sqlite3_step(statement);
    if (step == SQLITE_DONE) return {};
    if (step != SQLITE_ROW) {
      detail = step == SQLITE_INTERRUPT ? "the statement ran longer than its bound" : sqlite3_errmsg(base);
      return step == SQLITE_INTERRUPT ? Kind::tooLarge : Kind::badValue;
    }
    if (table.rows.size() >= mostRows) {
      detail = "more rows than " + std::to_string(mostRows);
      return Kind::tooLarge;
    }
    auto& row = table.rows.emplace_back();
    for (int i = 0; i < width; ++i) {
      const auto* text = sqlite3_column_text(statement, i);
      row.emplace_back(text ? reinterpret_cast<const char*>(text) : "");
    }
  }
}

}  // namespace

std::error_code query(const json_t* snapshot, std::string_view sql, Table& table, std::string& detail, Bounds bounds) {
  const auto base = openBase();
  if (!base) return Kind::overloaded;
  createTables(base.get(), snapshot);
  std::int64_t left = bounds.mostSteps / kStepsEach;
  bound(base.get(), left);
  const auto statement = prepare(base.get(), std::string(sql), detail);
  if (!statement) return Kind::badValue;
  return readRows(base.get(), statement.get(), bounds.mostRows, table, detail);
}

}  // namespace tulip::query
