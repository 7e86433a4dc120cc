#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "bearing/env.hpp"
#include "bearing/json.hpp"
#include "gangway/http.hpp"
#include "roles/daemon.hpp"

namespace tulip::roles {
namespace {

struct Helm {
  std::vector<Address> at;
  Millis cutoffMs = 15000;
  bool json = false;
  std::string transaction;
};

struct Task {
  std::string method, target, body;
};

int exitCodeOf(int status, std::string_view error) {
  if (status >= 200 && status < 300) return 0;
  for (int kind = 0; kind <= static_cast<int>(Kind::jobEnded); ++kind)
    if (rowOf(static_cast<Kind>(kind)).name == error) return rowOf(static_cast<Kind>(kind)).exitCode;
  return status == 0 ? 6 : status >= 500 ? 6 : 3;
}

gangway::CallReply ask(const Helm& helm, const Task& task) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(helm.cutoffMs);
  gangway::CallReply reply;
  for (std::size_t tries = 0;; ++tries) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    if (left <= 0) return reply;
    gangway::CallOut out;
    out.to = helm.at[tries % helm.at.size()];
    out.method = task.method;
    out.target = task.target;
    out.body = task.body;
    out.cutoffMs = left;
    out.headers["X-Tulippitch-Transaction"] = helm.transaction;
    out.headers["X-Tulippitch-Cutoff-Ms"] = std::to_string(std::min<Millis>(left, 10000));
    auto got = gangway::callNow(std::move(out));
    if (got.status > 0 || reply.status == 0) reply = got;
    if (got.status > 0 && got.status != 503 && got.status != 504) return reply;
    const Millis waitMs = got.retryAfterMs > 0 ? got.retryAfterMs : 100;
    if (waitMs >= left) return reply;
    std::this_thread::sleep_for(std::chrono::milliseconds(waitMs));
  }
}

void printRow(const json_t* item, std::initializer_list<const char*> fields) {
  bool first = true;
  for (const char* field : fields) {
    const json_t* value = json_object_get(item, field);
    if (!first) std::cout << "  ";
    first = false;
    if (json_is_string(value)) std::cout << json_string_value(value);
    else std::cout << field << "=" << (value ? dumpJson(value) : "-");
  }
  std::cout << "\n";
}

int show(const Helm& helm, const gangway::CallReply& reply) {
  Json root = parseJson(reply.body);
  const std::string error = root ? textAt(root.get(), "error") : "";
  const int code = exitCodeOf(reply.status, error);
  if (reply.status == 0) {
    std::cerr << "no daemon answered" << std::endl;
    return code;
  }
  if (helm.json || !root) {
    (code ? std::cerr : std::cout) << reply.body << std::endl;
    return code;
  }
  if (code) {
    std::cerr << error << ": " << textAt(root.get(), "meaning") << " " << textAt(root.get(), "detail") << std::endl;
    const json_t* faults = json_object_get(root.get(), "faults");
    for (std::size_t i = 0; i < json_array_size(faults); ++i)
      std::cerr << "  " << textAt(json_array_get(faults, i), "path") << ": allowed is " << textAt(json_array_get(faults, i), "allowed") << "\n";
    if (json_object_get(root.get(), "revision")) std::cerr << "  current revision: " << numberAt(root.get(), "revision") << "\n";
    return code;
  }
  if (const json_t* jobs = json_object_get(root.get(), "jobs")) {
    for (std::size_t i = 0; i < json_array_size(jobs); ++i)
      printRow(json_array_get(jobs, i), {"id", "state", "pending", "tasksDone", "taskCount"});
    if (json_object_get(root.get(), "after")) std::cout << "more after " << textAt(root.get(), "after") << "\n";
  } else if (const json_t* workers = json_object_get(root.get(), "workers")) {
    for (std::size_t i = 0; i < json_array_size(workers); ++i)
      printRow(json_array_get(workers, i), {"worker", "cell", "pool", "usable", "slots", "slotsHeld", "runs", "leaving", "shunned", "failed"});
  } else if (const json_t* members = json_object_get(root.get(), "members")) {
    for (std::size_t i = 0; i < json_array_size(members); ++i)
      printRow(json_array_get(members, i), {"id", "role", "cell", "http", "revision", "ready", "ageMs"});
    std::cout << "cohort " << dumpJson(json_object_get(root.get(), "cohort")) << "\n";
  } else {
    std::cout << dumpJson(root.get(), JSON_INDENT(2) | JSON_SORT_KEYS) << "\n";
  }
  return 0;
}

std::string readInput(const std::string& path) {
  std::stringstream text;
  if (path == "-") text << std::cin.rdbuf();
  else {
    std::ifstream in(path);
    if (!in) throw TCLAP::ArgException("cannot be read", path);
    text << in.rdbuf();
  }
  return text.str();
}

std::string flagPatch(const char* group, const std::string& name, const char* flag, bool value) {
  Json root(json_object());
  json_t *inner = json_object(), *leaf = json_object();
  json_object_set_new(leaf, flag, json_boolean(value));
  json_object_set_new(inner, name.c_str(), leaf);
  json_object_set_new(root.get(), group, inner);
  return dumpJson(root.get());
}

int waitFor(const Helm& helm, const std::string& job) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(helm.cutoffMs);
  while (true) {
    const auto reply = ask(helm, {"GET", "/jobs/" + job, ""});
    Json root = parseJson(reply.body);
    const auto state = root ? textAt(root.get(), "state") : "";
    const bool over = state == "finished" || state == "failed" || state == "cancelled" || state == "expired";
    if (over || reply.status != 200 || std::chrono::steady_clock::now() >= until) {
      const int code = show(helm, reply);
      return code ? code : state == "finished" ? 0 : over ? 9 : 7;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

}  // namespace

int runHelm(int argc, char** argv) {
  try {
    TCLAP::CmdLine line(
        "commands: submit FILE | get JOB | list [STATE] | cancel JOB | wait JOB | config get | config put FILE | config patch FILE | "
        "workers | members | leader | status | counters | log | drain WORKER | undrain WORKER | empty CELL | fill CELL",
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> at("a", "at", "http addresses of daemons, joined by commas", true, "", "IP:PORT,...", line);
    TCLAP::SwitchArg json("j", "json", "print the answer as it came", line);
    TCLAP::ValueArg<long> cutoff("", "cutoff-ms", "how long to go on trying", false, 15000, "MS", line);
    TCLAP::ValueArg<std::string> expected("", "expected", "the revision a change builds on", false, "", "REVISION", line);
    TCLAP::ValueArg<std::string> transaction("", "transaction", "the transaction's id, to send it again", false, "", "ID", line);
    TCLAP::ValueArg<std::string> after("", "after", "list from behind this job", false, "", "JOB", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "what to do", true, "COMMAND", line);
    line.parse(argc, argv);
    Helm helm;
    std::stringstream parts(at.getValue());
    for (std::string part; std::getline(parts, part, ',');) {
      if (!validAddress(part)) throw TCLAP::ArgException("allowed is an IP number and a port", "at");
      helm.at.emplace_back(part);
    }
    helm.json = json.getValue();
    helm.cutoffMs = cutoff.getValue();
    helm.transaction = transaction.getValue().empty() ? freshName() : transaction.getValue();
    const auto& all = words.getValue();
    const auto word = [&](std::size_t i) { return i < all.size() ? all[i] : std::string(); };
    const auto suffix = expected.getValue().empty() ? "" : "?expected=" + expected.getValue();
    const auto does = [&](Task task) { return show(helm, ask(helm, task)); };
    const bool two = all.size() == 2, one = all.size() == 1;
    if (word(0) == "submit" && two) return does({"POST", "/jobs", readInput(word(1))});
    if (word(0) == "get" && two) return does({"GET", "/jobs/" + word(1), ""});
    if (word(0) == "cancel" && two) return does({"DELETE", "/jobs/" + word(1), ""});
    if (word(0) == "wait" && two) return waitFor(helm, word(1));
    if (word(0) == "list" && all.size() <= 2) {
      std::string query = "?limit=1000";
      if (two) query += "&state=" + word(1);
      if (!after.getValue().empty()) query += "&after=" + after.getValue();
      return does({"GET", "/jobs" + query, ""});
    }
    if (word(0) == "config" && word(1) == "get" && two) return does({"GET", "/configuration", ""});
    if (word(0) == "config" && word(1) == "put" && all.size() == 3) return does({"PUT", "/configuration" + suffix, readInput(word(2))});
    if (word(0) == "config" && word(1) == "patch" && all.size() == 3) return does({"PATCH", "/configuration" + suffix, readInput(word(2))});
    if (word(0) == "workers" && one) return does({"GET", "/workers", ""});
    if (word(0) == "members" && one) return does({"GET", "/members", ""});
    if (word(0) == "leader" && one) return does({"GET", "/leader", ""});
    if (word(0) == "counters" && one) return does({"GET", "/counters", ""});
    if (word(0) == "log" && one) return does({"GET", "/log", ""});
    if (word(0) == "status" && one) {
      const int leader = does({"GET", "/leader", ""});
      const int members = does({"GET", "/members", ""});
      const int workers = does({"GET", "/workers", ""});
      return leader ? leader : members ? members : workers;
    }
    if ((word(0) == "drain" || word(0) == "undrain") && two)
      return does({"PATCH", "/configuration" + suffix, flagPatch("workers", word(1), "drained", word(0) == "drain")});
    if ((word(0) == "empty" || word(0) == "fill") && two)
      return does({"PATCH", "/configuration" + suffix, flagPatch("cells", word(1), "emptied", word(0) == "empty")});
    throw TCLAP::ArgException("not a command; --help lists them", word(0));
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "helm: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badEnv).exitCode;
  }
}

}  // namespace tulip::roles
