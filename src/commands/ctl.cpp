// The operator's command line: its flags, and the request that each command stands for.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "base/json.hpp"
#include "base/settings.hpp"
#include "commands/commands.hpp"
#include "commands/ctl.hpp"
#include "daemon/daemon.hpp"

namespace tulip::commands {
namespace {

constexpr int kExitEndedBadly = 9;  // the job waited for ended in another state than finished
constexpr int kExitStillOpen = 7;   // it hasn't ended in time

using Words = std::vector<std::string>;

struct CtlFlags {
  std::string expected;  // the revision a change builds on
  std::string after;     // jobs are listed from behind this one
  double seconds = 0;    // how long a load submits
  double factor = 1;     // times the scenario's rates
};

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

int send(const CtlClient& ctl, const CtlRequest& request) {
  const auto reply = ask(ctl, request);
  const Json root = parseJson(reply.body);
  if (reply.status == 200 && request.method.starts_with("P") && numberAt(root.get(), "revision") > 0)
    writeJournal(ctl, "confirmed " + std::to_string(numberAt(root.get(), "revision")));
  return show(ctl, reply);
}

int get(const CtlClient& ctl, const std::string& target) { return send(ctl, {"GET", target, ""}); }

int waitFor(const CtlClient& ctl, const std::string& job) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ctl.deadlineMs);
  while (true) {
    const auto reply = ask(ctl, {"GET", "/jobs/" + job, ""});
    Json root = parseJson(reply.body);
    const auto state = root ? textAt(root.get(), "state") : "";
    const bool over = state == "finished" || state == "failed" || state == "cancelled" || state == "expired";
    if (over || reply.status != 200 || std::chrono::steady_clock::now() >= until) {
      const int code = show(ctl, reply);
      return code ? code : state == "finished" ? 0 : over ? kExitEndedBadly : kExitStillOpen;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
}

int list(const CtlClient& ctl, const CtlFlags& flags, const Words& words) {
  std::string query = "?limit=1000";
  if (words.size() == 2) query += "&state=" + words[1];
  if (!flags.after.empty()) query += "&after=" + flags.after;
  return get(ctl, "/jobs" + query);
}

std::string configurationTarget(const CtlFlags& flags) {
  return "/configuration" + (flags.expected.empty() ? "" : "?expected=" + flags.expected);
}

int changeConfig(const CtlClient& ctl, const CtlFlags& flags, const Words& words) {
  if (words[1] == "put") return send(ctl, {"PUT", configurationTarget(flags), readInput(words[2])});
  if (words[1] == "patch") return send(ctl, {"PATCH", configurationTarget(flags), readInput(words[2])});
  throw TCLAP::ArgException("not a command; --help lists them", words[0]);
}

int showTrace(const CtlClient& ctl) {
  const auto reply = ask(ctl, {"GET", "/trace", ""});
  if (reply.status != 200) return show(ctl, reply);
  std::cout << reply.body;
  return 0;
}

int showStatus(const CtlClient& ctl) {
  showAlarms(ctl);
  const int leader = get(ctl, "/leader");
  const int members = get(ctl, "/members");
  const int workers = get(ctl, "/workers");
  return leader ? leader : members ? members : workers;
}

std::string flagPatch(const char* group, const std::string& name, const char* flag, bool value) {
  Json root(json_object());
  json_t *inner = json_object(), *leaf = json_object();
  json_object_set_new(leaf, flag, json_boolean(value));
  json_object_set_new(inner, name.c_str(), leaf);
  json_object_set_new(root.get(), group, inner);
  return dumpJson(root.get());
}

// Sets or takes back a flag of a worker or a zone. The journal has it from before it may be taken back, and from when
// it is known to be set.
int setFlag(const CtlClient& ctl, const CtlFlags& flags, const std::string& name, const char* group, const char* flag,
            bool on) {
  if (!on) writeJournal(ctl, std::string("un") + flag + " " + name);
  const int code = send(ctl, {"PATCH", configurationTarget(flags), flagPatch(group, name, flag, on)});
  if (on && code == 0) writeJournal(ctl, std::string(flag) + " " + name);
  return code;
}

int runOne(const CtlClient& ctl, const std::string& command) {
  for (const char* plain : {"workers", "members", "leader", "counters", "log"})
    if (command == plain) return get(ctl, "/" + command);
  if (command == "trace") return showTrace(ctl);
  if (command == "status") return showStatus(ctl);
  throw TCLAP::ArgException("not a command; --help lists them", command);
}

int runTwo(const CtlClient& ctl, const CtlFlags& flags, const std::string& command, const std::string& what) {
  if (command == "submit") return send(ctl, {"POST", "/jobs", readInput(what)});
  if (command == "get") return get(ctl, "/jobs/" + what);
  if (command == "cancel") return send(ctl, {"DELETE", "/jobs/" + what, ""});
  if (command == "wait") return waitFor(ctl, what);
  if (command == "config" && what == "get") return get(ctl, "/configuration");
  if (command == "query") return runQuery(ctl, what);
  if (command == "load") return runLoad(ctl, readInput(what), flags.seconds, flags.factor);
  if (command == "drain" || command == "undrain")
    return setFlag(ctl, flags, what, "workers", "drained", command == "drain");
  if (command == "empty" || command == "fill") return setFlag(ctl, flags, what, "cells", "emptied", command == "empty");
  throw TCLAP::ArgException("not a command; --help lists them", command);
}

int run(const CtlClient& ctl, const CtlFlags& flags, const Words& words) {
  if (words[0] == "list" && words.size() <= 2) return list(ctl, flags, words);
  if (words.size() == 1) return runOne(ctl, words[0]);
  if (words.size() == 2) return runTwo(ctl, flags, words[0], words[1]);
  if (words.size() == 3 && words[0] == "config") return changeConfig(ctl, flags, words);
  throw TCLAP::ArgException("not a command; --help lists them", words[0]);
}

std::vector<Address> readAddresses(const std::string& joined) {
  std::vector<Address> addresses;
  std::stringstream parts(joined);
  for (std::string part; std::getline(parts, part, ',');) {
    if (!validAddress(part)) throw TCLAP::ArgException("allowed is an IP number and a port", "at");
    addresses.emplace_back(part);
  }
  return addresses;
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
    TCLAP::ValueArg<std::string> journal(
        "", "journal", "file for what a load or an operator saw, for 'simulate --journals'", false, "", "FILE", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "what to do", true, "COMMAND", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    CtlClient ctl;
    ctl.at = readAddresses(at.getValue());
    ctl.json = json.getValue();
    ctl.deadlineMs = deadline.getValue();
    ctl.journal = journal.getValue();
    if (!ctl.journal.empty() && !std::ofstream(ctl.journal, std::ios::app))
      throw TCLAP::ArgException("allowed is a file that can be written", "journal");
    ctl.requestId = requestId.getValue().empty() ? daemon::freshName() : requestId.getValue();
    const CtlFlags flags{expected.getValue(), after.getValue(), seconds.getValue(), factor.getValue()};
    return run(ctl, flags, words.getValue());
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "ctl: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
}

}  // namespace tulip::commands
