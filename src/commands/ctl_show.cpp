// What `ctl` prints.
#include <iostream>

#include "base/json.hpp"
#include "commands/ctl.hpp"
#include "query/query.hpp"

namespace tulip::commands {
namespace {

constexpr Millis kAlarmsMs = 1000;  // how long one daemon is waited for when its alarms are shown
constexpr int kExitUnknown = 6;     // nothing is known of the outcome
constexpr int kExitRejected = 3;

int exitCodeOf(int status, std::string_view error) {
  if (status >= 200 && status < 300) return 0;
  for (int kind = 0; kind <= static_cast<int>(Kind::jobEnded); ++kind)
    if (rowOf(static_cast<Kind>(kind)).name == error) return rowOf(static_cast<Kind>(kind)).exitCode;
  return status == 0 || status >= 500 ? kExitUnknown : kExitRejected;
}

void printRow(const json_t* item, std::initializer_list<const char*> fields) {
  bool first = true;
  for (const char* field : fields) {
    const json_t* value = json_object_get(item, field);
    if (!first) std::cout << "  ";
    first = false;
    if (json_is_string(value))
      std::cout << json_string_value(value);
    else
      std::cout << field << "=" << (value ? dumpJson(value) : "-");
  }
  std::cout << "\n";
}

void printRows(const json_t* items, std::initializer_list<const char*> fields) {
  for (std::size_t i = 0; i < json_array_size(items); ++i) printRow(json_array_get(items, i), fields);
}

void printFailure(const json_t* root, const std::string& error) {
  std::cerr << error << ": " << textAt(root, "meaning") << " " << textAt(root, "detail") << std::endl;
  const json_t* faults = json_object_get(root, "faults");
  for (std::size_t i = 0; i < json_array_size(faults); ++i)
    std::cerr << "  " << textAt(json_array_get(faults, i), "path") << ": allowed is "
              << textAt(json_array_get(faults, i), "allowed") << "\n";
  if (json_object_get(root, "revision")) std::cerr << "  current revision: " << numberAt(root, "revision") << "\n";
}

void printAnswer(const json_t* root) {
  if (const json_t* jobs = json_object_get(root, "jobs")) {
    printRows(jobs, {"id", "state", "pending", "tasksDone", "taskCount"});
    if (json_object_get(root, "after")) std::cout << "more after " << textAt(root, "after") << "\n";
  } else if (const json_t* workers = json_object_get(root, "workers")) {
    printRows(workers,
              {"worker", "cell", "pool", "usable", "slots", "slotsHeld", "runs", "leaving", "shunned", "failed"});
  } else if (const json_t* members = json_object_get(root, "members")) {
    printRows(members, {"id", "role", "cell", "http", "revision", "ready", "ageMs"});
    std::cout << "cohort " << dumpJson(json_object_get(root, "cohort")) << "\n";
  } else {
    std::cout << dumpJson(root, JSON_INDENT(2) | JSON_SORT_KEYS) << "\n";
  }
}

void printTableAsJson(const query::Table& table) {
  Json list(json_array());
  for (const auto& row : table.rows) {
    json_t* item = json_object();
    for (std::size_t i = 0; i < row.size(); ++i) json_object_set_new(item, table.columns[i].c_str(), jsonText(row[i]));
    json_array_append_new(list.get(), item);
  }
  std::cout << dumpJson(list.get()) << "\n";
}

void printFields(const std::vector<std::string>& fields) {
  for (std::size_t i = 0; i < fields.size(); ++i) std::cout << (i ? "\t" : "") << fields[i];
  std::cout << "\n";
}

}  // namespace

int show(const CtlClient& ctl, const http::CallReply& reply) {
  const Json root = parseJson(reply.body);
  const std::string error = root ? textAt(root.get(), "error") : "";
  const int code = exitCodeOf(reply.status, error);
  if (reply.status == 0)
    std::cerr << "no daemon answered" << std::endl;
  else if (ctl.json || !root)
    (code ? std::cerr : std::cout) << reply.body << std::endl;
  else if (code)
    printFailure(root.get(), error);
  else
    printAnswer(root.get());
  return code;
}

void showAlarms(const CtlClient& ctl) {
  for (const auto& at : ctl.at) {
    http::CallOut out;
    out.to = at;
    out.target = "/counters";
    out.deadlineMs = std::min<Millis>(ctl.deadlineMs, kAlarmsMs);
    const auto reply = http::callNow(std::move(out));
    Json root = parseJson(reply.body);
    if (reply.status != 200 || !root) {
      std::cout << "alarm  no-answer  " << at.value << "\n";
      continue;
    }
    const json_t* alarms = json_object_get(root.get(), "alarms");
    for (std::size_t i = 0; i < json_array_size(alarms); ++i) {
      const json_t* alarm = json_array_get(alarms, i);
      std::cout << "alarm  " << textAt(root.get(), "id") << "  ";
      printRow(alarm, {"alarm", "subject", "forMs", "detail"});
    }
  }
}

int runQuery(const CtlClient& ctl, const std::string& sql) {
  const auto reply = ask(ctl, {"GET", "/snapshot", ""});
  if (reply.status != 200) return show(ctl, reply);
  const Json snapshot = parseJson(reply.body);
  query::Table table;
  std::string detail;
  if (const auto failed = query::query(snapshot.get(), sql, table, detail)) {
    const auto& row = rowOf(static_cast<Kind>(failed.value()));
    std::cerr << row.name << ": " << detail << std::endl;
    return row.exitCode;
  }
  if (!flagAt(snapshot.get(), "complete"))
    std::cerr << "only open jobs and the newest ended ones are in this snapshot" << std::endl;
  if (ctl.json) {
    printTableAsJson(table);
    return 0;
  }
  printFields(table.columns);
  for (const auto& row : table.rows) printFields(row);
  return 0;
}

}  // namespace tulip::commands
