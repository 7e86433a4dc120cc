#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "base/json.hpp"
#include "base/settings.hpp"
#include "commands/commands.hpp"
#include "daemon/daemon.hpp"
#include "http/call_policy.hpp"
#include "http/http.hpp"
#include "query/query.hpp"
#include "simulator/load.hpp"

namespace tulip::commands {
namespace {

constexpr Millis kAlarmsMs = 1000;  // how long one daemon is waited for when its alarms are shown

struct Ctl {
  std::vector<Address> at;
  std::string journal;
  Millis deadlineMs = 15000;
  bool json = false;
  std::string requestId;
};

Millis steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void journal(const Ctl& ctl, const std::string& line) {
  if (!ctl.journal.empty()) std::ofstream(ctl.journal, std::ios::app) << steadyMs() << " " << line << std::endl;
}

struct Task {
  std::string method, target, body;
};

int exitCodeOf(int status, std::string_view error) {
  if (status >= 200 && status < 300) return 0;
  for (int kind = 0; kind <= static_cast<int>(Kind::jobEnded); ++kind)
    if (rowOf(static_cast<Kind>(kind)).name == error) return rowOf(static_cast<Kind>(kind)).exitCode;
  return status == 0 ? 6 : status >= 500 ? 6 : 3;
}

http::Loss lossOf(const http::CallReply& reply) {
  if (reply.status > 0) return http::lossOf(reply.status);
  return reply.sent ? http::Loss::silence : http::Loss::unreached;
}

/// Asks one daemon after another, for as long as the table of calls lets this one be sent again.
http::CallReply ask(const Ctl& ctl, const Task& task) {
  const auto path = std::string_view(task.target).substr(0, task.target.find('?'));
  const auto call = http::classOfOwnCall(task.method, path, !ctl.requestId.empty());
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ctl.deadlineMs);
  http::CallReply reply;
  for (std::size_t tries = 0;; ++tries) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count();
    if (left <= 0) return reply;
    http::CallOut out;
    out.to = ctl.at[tries % ctl.at.size()];
    out.method = task.method;
    out.target = task.target;
    out.body = task.body;
    out.deadlineMs = left;
    out.headers["X-Tulippitch-Transaction"] = ctl.requestId;
    out.headers["X-Tulippitch-Cutoff-Ms"] = std::to_string(std::min<Millis>(left, 10000));
    auto got = http::callNow(std::move(out));
    if (got.status > 0 || reply.status == 0) reply = got;
    if (!http::mayRepeat(call, lossOf(got))) return reply;
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
    if (json_is_string(value))
      std::cout << json_string_value(value);
    else
      std::cout << field << "=" << (value ? dumpJson(value) : "-");
  }
  std::cout << "\n";
}

int show(const Ctl& ctl, const http::CallReply& reply) {
  Json root = parseJson(reply.body);
  const std::string error = root ? textAt(root.get(), "error") : "";
  const int code = exitCodeOf(reply.status, error);
  if (reply.status == 0) {
    std::cerr << "no daemon answered" << std::endl;
    return code;
  }
  if (ctl.json || !root) {
    (code ? std::cerr : std::cout) << reply.body << std::endl;
    return code;
  }
  if (code) {
    std::cerr << error << ": " << textAt(root.get(), "meaning") << " " << textAt(root.get(), "detail") << std::endl;
    const json_t* faults = json_object_get(root.get(), "faults");
    for (std::size_t i = 0; i < json_array_size(faults); ++i)
      std::cerr << "  " << textAt(json_array_get(faults, i), "path") << ": allowed is "
                << textAt(json_array_get(faults, i), "allowed") << "\n";
    if (json_object_get(root.get(), "revision"))
      std::cerr << "  current revision: " << numberAt(root.get(), "revision") << "\n";
    return code;
  }
  if (const json_t* jobs = json_object_get(root.get(), "jobs")) {
    for (std::size_t i = 0; i < json_array_size(jobs); ++i)
      printRow(json_array_get(jobs, i), {"id", "state", "pending", "tasksDone", "taskCount"});
    if (json_object_get(root.get(), "after")) std::cout << "more after " << textAt(root.get(), "after") << "\n";
  } else if (const json_t* workers = json_object_get(root.get(), "workers")) {
    for (std::size_t i = 0; i < json_array_size(workers); ++i)
      printRow(json_array_get(workers, i),
               {"worker", "cell", "pool", "usable", "slots", "slotsHeld", "runs", "leaving", "shunned", "failed"});
  } else if (const json_t* members = json_object_get(root.get(), "members")) {
    for (std::size_t i = 0; i < json_array_size(members); ++i)
      printRow(json_array_get(members, i), {"id", "role", "cell", "http", "revision", "ready", "ageMs"});
    std::cout << "cohort " << dumpJson(json_object_get(root.get(), "cohort")) << "\n";
  } else {
    std::cout << dumpJson(root.get(), JSON_INDENT(2) | JSON_SORT_KEYS) << "\n";
  }
  return 0;
}

/// The alarms that are raised at each of the daemons asked, since each tells what it knows itself.
void showAlarms(const Ctl& ctl) {
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

std::string readInput(const std::string& path) {
  std::stringstream text;
  if (path == "-")
    text << std::cin.rdbuf();
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

int waitFor(const Ctl& ctl, const std::string& job) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ctl.deadlineMs);
  while (true) {
    const auto reply = ask(ctl, {"GET", "/jobs/" + job, ""});
    Json root = parseJson(reply.body);
    const auto state = root ? textAt(root.get(), "state") : "";
    const bool over = state == "finished" || state == "failed" || state == "cancelled" || state == "expired";
    if (over || reply.status != 200 || std::chrono::steady_clock::now() >= until) {
      const int code = show(ctl, reply);
      return code ? code : state == "finished" ? 0 : over ? 9 : 7;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

int runQuery(const Ctl& ctl, const std::string& sql) {
  const auto reply = ask(ctl, {"GET", "/snapshot", ""});
  if (reply.status != 200) return show(ctl, reply);
  Json snapshot = parseJson(reply.body);
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
    Json list(json_array());
    for (const auto& zones : table.rows) {
      json_t* item = json_object();
      for (std::size_t i = 0; i < zones.size(); ++i)
        json_object_set_new(item, table.columns[i].c_str(), jsonText(zones[i]));
      json_array_append_new(list.get(), item);
    }
    std::cout << dumpJson(list.get()) << "\n";
    return 0;
  }
  auto print = [](const std::vector<std::string>& zones) {
    for (std::size_t i = 0; i < zones.size(); ++i) std::cout << (i ? "\t" : "") << zones[i];
    std::cout << "\n";
  };
  print(table.columns);
  for (const auto& zones : table.rows) print(zones);
  return 0;
}

struct LoadRun {
  const Ctl& ctl;
  boost::asio::io_context context;
  std::mt19937_64 random;
  std::map<std::string, std::chrono::steady_clock::time_point> since;
  std::map<std::string, Millis> acceptedMs, startedMs, finishedMs;
  std::map<std::string, int> ends;
  std::size_t asked = 0, rejected = 0, tries = 0, lost = 0;
  std::chrono::steady_clock::time_point until, hard;
  std::set<std::string> seen;
  bool limitsKnown = false;

  double dice() { return static_cast<double>(random() >> 11) / 9007199254740992.0; }
  Millis sinceMs(const std::string& id) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - since.at(id))
        .count();
  }
  void after(double seconds, std::function<void()> act) {
    auto pulse = std::make_shared<boost::asio::steady_timer>(
        context, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    pulse->async_wait([pulse, act](boost::system::error_code) { act(); });
  }
  void call(Task task, std::function<void(http::CallReply)> done) {
    http::CallOut out;
    out.to = ctl.at[random() % ctl.at.size()];
    out.method = task.method;
    out.target = task.target;
    out.body = task.body;
    http::callHttp(context, std::move(out), std::move(done));
  }
  void submit(const std::string& id, const std::string& body) {
    ++tries;
    if (seen.insert(id).second) journal(ctl, "submit " + body);
    call({"POST", "/jobs", body}, [this, id, body](http::CallReply reply) {
      if (reply.status == 200 || reply.status == 201) {
        acceptedMs[id] = sinceMs(id);
        journal(ctl, "accepted " + id);
        if (!ctl.journal.empty() && dice() < 0.05) after(0.1 + dice(), [this, id] { cancel(id); });
        return poll(id);
      }
      if (reply.status >= 400 && reply.status < 500) {
        ++rejected;
        journal(ctl, "denied " + id);
        since.erase(id);
        return;
      }
      if (std::chrono::steady_clock::now() < hard)
        after(reply.retryAfterMs > 0 ? static_cast<double>(reply.retryAfterMs) / 1000 : 0.1,
              [this, id, body] { submit(id, body); });
    });
  }
  void cancel(const std::string& id) {
    call({"DELETE", "/jobs/" + id, ""}, [this, id](http::CallReply reply) {
      if (reply.status == 200)
        journal(ctl, "cancelled " + id);
      else if (http::mayRepeat(http::CallClass::cancelJob, lossOf(reply)))
        after(0.2, [this, id] { cancel(id); });
    });
  }
  void readConfig() {
    const auto askedMs = steadyMs();
    call({"GET", "/configuration", ""}, [this, askedMs](http::CallReply reply) {
      Json view = parseJson(reply.body);
      const auto version = view ? numberAt(view.get(), "revision") : 0;
      if (reply.status == 200 && version > 0)
        journal(ctl, "read " + std::to_string(version) + " " + std::to_string(askedMs));
      const char* line;
      json_t* pending;
      if (!std::exchange(limitsKnown, reply.status == 200 || limitsKnown))
        json_object_foreach(json_object_get(json_object_get(view.get(), "configuration"), "pendings"), line, pending)
            journal(ctl, "limit " + std::string(line) + " " + std::to_string(numberAt(pending, "failureLimit", 3)));
      if (std::chrono::steady_clock::now() < until) after(0.2 + 0.2 * dice(), [this] { readConfig(); });
    });
  }
  void poll(const std::string& id) {
    call({"GET", "/jobs/" + id, ""}, [this, id](http::CallReply reply) {
      Json view = parseJson(reply.body);
      if (reply.status == 404) {
        ++lost;
        journal(ctl, "unknown " + id);
      }
      const auto state = view ? textAt(view.get(), "state") : "";
      if (state == "finished" || state == "failed" || state == "cancelled" || state == "expired") {
        ++ends[state];
        journal(ctl, "shown " + id + " " + state);
        const auto accepted = numberAt(view.get(), "acceptedMs");
        startedMs[id] = numberAt(view.get(), "firstStartMs") - accepted;
        finishedMs[id] = numberAt(view.get(), "finishedMs") - accepted;
        return;
      }
      if (std::chrono::steady_clock::now() < hard) after(0.1 + 0.1 * dice(), [this, id] { poll(id); });
    });
  }
  void arrive(const simulator::LineLoad& line, double factor) {
    after(simulator::gapSeconds(line, factor, [this] { return dice(); }), [this, line, factor] {
      if (std::chrono::steady_clock::now() >= until) return;
      const auto id = line.line + "-" + ctl.requestId + "-" + std::to_string(++asked);
      since[id] = std::chrono::steady_clock::now();
      submit(id, simulator::jobBody(simulator::sketchJob(line, id, [this] { return dice(); })));
      arrive(line, factor);
    });
  }
};

json_t* quantiles(const std::map<std::string, Millis>& byJob) {
  std::vector<Millis> values;
  for (const auto& [id, value] : byJob) values.push_back(value);
  std::sort(values.begin(), values.end());
  json_t* item = json_object();
  for (const auto& [name, share] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}, {"max", 1.0}})
    if (!values.empty())
      json_object_set_new(
          item, name,
          json_integer(values[std::min(values.size() - 1,
                                       static_cast<std::size_t>(share * static_cast<double>(values.size())))]));
  return item;
}

int runLoad(const Ctl& ctl, const std::string& scenario, double seconds, double factor) {
  std::vector<simulator::LineLoad> lines;
  config::Fault fault;
  if (!simulator::readLoad(scenario, lines, fault))
    throw TCLAP::ArgException(fault.path + ": allowed is " + fault.allowed, "scenario");
  LoadRun run{
      ctl, {},   std::mt19937_64(std::hash<std::string>{}(ctl.requestId)), {}, {}, {}, {}, {}, 0, 0, 0, 0, {}, {},
      {},  false};
  run.until = std::chrono::steady_clock::now() + std::chrono::milliseconds(static_cast<long>(seconds * 1000));
  run.hard = run.until + std::chrono::milliseconds(ctl.deadlineMs);
  for (const auto& line : lines) run.arrive(line, factor);
  if (!ctl.journal.empty()) run.readConfig();
  run.context.run();
  Json root(json_object());
  json_object_set_new(root.get(), "jobs", json_integer(static_cast<json_int_t>(run.asked)));
  json_object_set_new(root.get(), "accepted", json_integer(static_cast<json_int_t>(run.acceptedMs.size())));
  json_object_set_new(root.get(), "ended", json_integer(static_cast<json_int_t>(run.finishedMs.size())));
  json_object_set_new(root.get(), "denied", json_integer(static_cast<json_int_t>(run.rejected)));
  json_object_set_new(root.get(), "forgotten", json_integer(static_cast<json_int_t>(run.lost)));
  json_object_set_new(root.get(), "submitTries", json_integer(static_cast<json_int_t>(run.tries)));
  for (const auto& [state, count] : run.ends) json_object_set_new(root.get(), state.c_str(), json_integer(count));
  json_object_set_new(root.get(), "submitMs", quantiles(run.acceptedMs));
  json_object_set_new(root.get(), "acceptToStartMs", quantiles(run.startedMs));
  json_object_set_new(root.get(), "acceptToFinishMs", quantiles(run.finishedMs));
  std::cout << dumpJson(root.get(), JSON_INDENT(1) | JSON_PRESERVE_ORDER) << "\n";
  return run.finishedMs.size() == run.acceptedMs.size() && run.acceptedMs.size() + run.rejected == run.asked &&
                 run.lost == 0
             ? 0
             : 9;
}

}  // namespace

int runCtl(int argc, char** argv) {
  try {
    TCLAP::CmdLine line(
        "commands: submit FILE | get JOB | list [STATE] | cancel JOB | wait JOB | config get | config put FILE | "
        "config patch FILE | "
        "workers | members | leader | status | counters | log | trace | drain WORKER | undrain WORKER | empty CELL | "
        "fill CELL | load SCENARIO | query SQL",
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> at("a", "at", "http addresses of daemons, joined by commas", true, "", "IP:PORT,...",
                                    line);
    TCLAP::SwitchArg json("j", "json", "print the answer as it came", line);
    TCLAP::ValueArg<long> deadline("", "cutoff-ms", "how long to go on trying", false, 15000, "MS", line);
    TCLAP::ValueArg<std::string> expected("", "expected", "the revision a change builds on", false, "", "REVISION",
                                          line);
    TCLAP::ValueArg<std::string> requestId("", "transaction", "the transaction's id, to send it again", false, "", "ID",
                                           line);
    TCLAP::ValueArg<std::string> after("", "after", "list from behind this job", false, "", "JOB", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "how long 'load' submits", false, 30, "S", line);
    TCLAP::ValueArg<double> factor("", "load-factor", "times the scenario's rates", false, 1, "X", line);
    TCLAP::ValueArg<std::string> journalArg(
        "", "journal", "file for what a load or an operator saw, for 'simulate --journals'", false, "", "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "what to do", true, "COMMAND", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    Ctl ctl;
    std::stringstream parts(at.getValue());
    for (std::string part; std::getline(parts, part, ',');) {
      if (!validAddress(part)) throw TCLAP::ArgException("allowed is an IP number and a port", "at");
      ctl.at.emplace_back(part);
    }
    ctl.json = json.getValue();
    ctl.deadlineMs = deadline.getValue();
    ctl.journal = journalArg.getValue();
    if (!ctl.journal.empty() && !std::ofstream(ctl.journal, std::ios::app))
      throw TCLAP::ArgException("allowed is a file that can be written", "journal");
    ctl.requestId = requestId.getValue().empty() ? daemon::freshName() : requestId.getValue();
    const auto& all = words.getValue();
    const auto word = [&](std::size_t i) { return i < all.size() ? all[i] : std::string(); };
    const auto suffix = expected.getValue().empty() ? "" : "?expected=" + expected.getValue();
    const auto does = [&](Task task) {
      const auto reply = ask(ctl, task);
      Json root = parseJson(reply.body);
      if (reply.status == 200 && task.method.starts_with("P") && numberAt(root.get(), "revision") > 0)
        journal(ctl, "confirmed " + std::to_string(numberAt(root.get(), "revision")));
      return show(ctl, reply);
    };
    const bool two = all.size() == 2, one = all.size() == 1;
    if (word(0) == "submit" && two) return does({"POST", "/jobs", readInput(word(1))});
    if (word(0) == "get" && two) return does({"GET", "/jobs/" + word(1), ""});
    if (word(0) == "cancel" && two) return does({"DELETE", "/jobs/" + word(1), ""});
    if (word(0) == "wait" && two) return waitFor(ctl, word(1));
    if (word(0) == "list" && all.size() <= 2) {
      std::string query = "?limit=1000";
      if (two) query += "&state=" + word(1);
      if (!after.getValue().empty()) query += "&after=" + after.getValue();
      return does({"GET", "/jobs" + query, ""});
    }
    if (word(0) == "config" && word(1) == "get" && two) return does({"GET", "/configuration", ""});
    if (word(0) == "config" && word(1) == "put" && all.size() == 3)
      return does({"PUT", "/configuration" + suffix, readInput(word(2))});
    if (word(0) == "config" && word(1) == "patch" && all.size() == 3)
      return does({"PATCH", "/configuration" + suffix, readInput(word(2))});
    if (word(0) == "workers" && one) return does({"GET", "/workers", ""});
    if (word(0) == "members" && one) return does({"GET", "/members", ""});
    if (word(0) == "leader" && one) return does({"GET", "/leader", ""});
    if (word(0) == "counters" && one) return does({"GET", "/counters", ""});
    if (word(0) == "trace" && one) {
      const auto reply = ask(ctl, {"GET", "/trace", ""});
      if (reply.status != 200) return show(ctl, reply);
      std::cout << reply.body;
      return 0;
    }
    if (word(0) == "log" && one) return does({"GET", "/log", ""});
    if (word(0) == "query" && two) return runQuery(ctl, word(1));
    if (word(0) == "load" && two) return runLoad(ctl, readInput(word(1)), seconds.getValue(), factor.getValue());
    if (word(0) == "status" && one) {
      showAlarms(ctl);
      const int leader = does({"GET", "/leader", ""});
      const int members = does({"GET", "/members", ""});
      const int workers = does({"GET", "/workers", ""});
      return leader ? leader : members ? members : workers;
    }
    const auto flags = [&](const char* flag, bool on, Task task) {
      if (!on) journal(ctl, std::string("un") + flag + " " + word(1));
      const int code = does(std::move(task));
      if (on && code == 0) journal(ctl, std::string(flag) + " " + word(1));
      return code;
    };
    if ((word(0) == "drain" || word(0) == "undrain") && two)
      return flags("drained", word(0) == "drain",
                   {"PATCH", "/configuration" + suffix, flagPatch("workers", word(1), "drained", word(0) == "drain")});
    if ((word(0) == "empty" || word(0) == "fill") && two)
      return flags("emptied", word(0) == "empty",
                   {"PATCH", "/configuration" + suffix, flagPatch("cells", word(1), "emptied", word(0) == "empty")});
    throw TCLAP::ArgException("not a command; --help lists them", word(0));
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "ctl: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
}

}  // namespace tulip::commands
