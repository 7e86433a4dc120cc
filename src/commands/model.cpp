#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/errors.hpp"
#include "base/json.hpp"
#include "commands/commands.hpp"
#include "model/replays.hpp"
#include "model/search.hpp"

namespace tulip::commands {
namespace {

constexpr const char* kExplorations = "search, walks or replays";

/// What an exploration came to, as it is printed or written as JSON.
struct Report {
  std::string exploration;
  std::size_t states = 0;
  std::uint64_t transitions = 0;
  int depth = 0;
  bool exhausted = true;
  std::uint64_t progressChecks = 0;
  std::uint64_t failingSeed = 0;
  std::vector<model::Violation> violations;
  std::string path;
  double seconds = 0;
};

template <class Value>
Value within(const TCLAP::ValueArg<Value>& arg, Value least, Value most, const char* allowed) {
  const auto value = arg.getValue();
  if (!(value >= least && value <= most))
    throw TCLAP::ArgException(std::string("allowed is ") + allowed, arg.getName());
  return value;
}

void printJson(const Report& report) {
  Json root(json_object());
  json_object_set_new(root.get(), "exploration", jsonText(report.exploration));
  json_object_set_new(root.get(), "states", json_integer(static_cast<json_int_t>(report.states)));
  json_object_set_new(root.get(), "transitions", json_integer(static_cast<json_int_t>(report.transitions)));
  json_object_set_new(root.get(), "depth", json_integer(report.depth));
  json_object_set_new(root.get(), "exhausted", json_boolean(report.exhausted));
  json_object_set_new(root.get(), "progressChecks", json_integer(static_cast<json_int_t>(report.progressChecks)));
  json_object_set_new(root.get(), "seconds", json_real(report.seconds));
  json_t* violations = json_array();
  for (const auto& violation : report.violations) {
    json_t* item = json_object();
    json_object_set_new(item, "property", jsonText(violation.property));
    json_object_set_new(item, "detail", jsonText(violation.detail));
    json_array_append_new(violations, item);
  }
  json_object_set_new(root.get(), "violations", violations);
  json_object_set_new(root.get(), "path", jsonText(report.path));
  std::cout << dumpJson(root.get()) << "\n";
}

void printText(const Report& report) {
  std::cout << report.exploration << ": " << report.states << " states, " << report.transitions
            << " transitions, depth " << report.depth << ", " << report.progressChecks << " progress checks, "
            << (report.exhausted ? "all within the bounds explored" : "cut off by the bounds") << ", " << report.seconds
            << " s\n";
  for (const auto& violation : report.violations) std::cout << violation.property << ": " << violation.detail << "\n";
  if (!report.path.empty()) std::cout << report.path;
}

/// The path of a failure, shortened, in the form that --replay takes.
std::string shortestPath(const model::Replay& start, const model::PathResult& failure) {
  auto shortest = start;
  shortest.path = model::shrink(model::startOf(start), failure.taken, failure.violations.front().property);
  return textOf(shortest);
}

Report search(const model::Replay& start, const model::SearchPlan& plan) {
  const auto result = model::runSearch(model::startOf(start), plan);
  Report report;
  report.states = result.states;
  report.transitions = result.transitions;
  report.depth = result.depth;
  report.exhausted = result.exhausted;
  report.progressChecks = result.progressChecks;
  report.violations = result.failure.violations;
  if (!report.violations.empty()) report.path = shortestPath(start, result.failure);
  return report;
}

Report walk(const model::Replay& start, const model::WalkPlan& plan) {
  const auto result = model::runWalks(model::startOf(start), plan);
  Report report;
  report.states = result.choices;
  report.transitions = result.choices;
  report.depth = plan.choices;
  report.exhausted = false;
  report.progressChecks = static_cast<std::uint64_t>(result.walks);
  report.violations = result.failure.violations;
  if (!report.violations.empty()) report.path = shortestPath(start, result.failure);
  return report;
}

Report replayOne(const model::Replay& replay) {
  const auto result = model::takeReplay(replay);
  Report report;
  report.states = report.transitions = result.taken.size();
  report.depth = static_cast<int>(result.taken.size());
  report.progressChecks = 1;
  report.violations = result.violations;
  report.path = textOf(model::Replay{replay.plan, replay.settled, result.taken});
  return report;
}

model::Replay readReplay(const std::string& name) {
  std::string text;
  for (const auto& named : model::namedReplays())
    if (named.name == name) text = named.text;
  if (text.empty()) {
    std::ifstream in(name);
    if (!in) throw TCLAP::ArgException("allowed is a name that --list prints, or a file of choices", "replay");
    std::stringstream read;
    read << in.rdbuf();
    text = read.str();
  }
  std::size_t badLine = 0;
  auto replay = model::parseReplay(text, badLine);
  if (!replay)
    throw TCLAP::ArgException("line " + std::to_string(badLine) + ": allowed is a choice of docs/design/model.md",
                              name);
  return *replay;
}

int list() {
  std::cout << "properties:\n";
  for (const auto& row : model::propertyRows()) std::cout << "  " << row.name << ": " << row.meaning << "\n";
  std::cout << "replays:\n";
  for (const auto& replay : model::namedReplays()) std::cout << "  " << replay.name << ": " << replay.meaning << "\n";
  return 0;
}

template <class Explore>
int explore(std::string exploration, bool json, Explore&& run) {
  const auto started = std::chrono::steady_clock::now();
  Report report = run();
  report.exploration = std::move(exploration);
  report.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
  json ? printJson(report) : printText(report);
  return report.violations.empty() ? 0 : 1;
}

int replayAll(bool json) {
  int failed = 0;
  for (const auto& named : model::namedReplays())
    failed += explore(std::string(named.name), json, [&] { return replayOne(readReplay(std::string(named.name))); });
  return failed > 0 ? 1 : 0;
}

}  // namespace

int runModel(int argc, char** argv) {
  try {
    TCLAP::CmdLine line(
        "a model checker: explores the daemons' own control "
        "code under every order of events",
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> what("", "explore", kExplorations, false, "search", "WHAT", line);
    TCLAP::ValueArg<std::string> replay("", "replay", "take one path: a name that --list prints, or a file", false, "",
                                        "NAME|FILE", line);
    TCLAP::SwitchArg listing("", "list", "name the properties and the replays", line);
    TCLAP::ValueArg<int> spares("", "spares", "replicas beside the three voters", false, 1, "N", line);
    TCLAP::SwitchArg formed("", "formed", "start before the first order instead of after it", line);
    TCLAP::ValueArg<std::int64_t> states("", "states", "search: states at most", false, 20000, "N", line);
    TCLAP::ValueArg<int> depth("", "depth", "search: choices of a path at most", false, 12, "N", line);
    TCLAP::ValueArg<int> losses("", "losses", "search: losses of a path at most", false, 2, "N", line);
    TCLAP::ValueArg<int> messages("", "message-faults", "search: messages lost, doubled or late at most", false, 2, "N",
                                  line);
    TCLAP::ValueArg<std::int64_t> every("", "progress-every", "search: check progress from one in N states", false, 64,
                                        "N", line);
    TCLAP::ValueArg<int> walks("", "walks", "walks: how many seeds", false, 200, "N", line);
    TCLAP::ValueArg<int> choices("", "choices", "walks: choices of a walk", false, 60, "N", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "walks: first seed", false, 1, "N", line);
    TCLAP::SwitchArg json("", "json", "one JSON object an exploration instead of text", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    if (listing.getValue()) return list();
    if (!replay.getValue().empty()) {
      const auto path = readReplay(replay.getValue());
      return explore(replay.getValue(), json.getValue(), [&] { return replayOne(path); });
    }
    model::Replay start;
    start.plan.spares = within(spares, 0, 4, "0 to 4");
    start.settled = !formed.getValue();
    if (what.getValue() == "replays") return replayAll(json.getValue());
    if (what.getValue() == "walks") {
      model::WalkPlan plan;
      plan.seed = seed.getValue();
      plan.walks = within(walks, 1, 10000000, "1 to 10000000");
      plan.choices = within(choices, 1, 10000, "1 to 10000");
      return explore("walks", json.getValue(), [&] { return walk(start, plan); });
    }
    if (what.getValue() != "search") throw TCLAP::ArgException(std::string("allowed is ") + kExplorations, "explore");
    model::SearchPlan plan;
    plan.states = static_cast<std::size_t>(within(states, std::int64_t{1}, std::int64_t{100000000}, "1 to 100000000"));
    plan.depth = within(depth, 1, 1000, "1 to 1000");
    plan.losses = within(losses, 0, 100, "0 to 100");
    plan.messageFaults = within(messages, 0, 100, "0 to 100");
    plan.progressEvery =
        static_cast<std::uint64_t>(within(every, std::int64_t{1}, std::int64_t{100000000}, "1 to 100000000"));
    return explore("search", json.getValue(), [&] { return search(start, plan); });
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "model: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
}

}  // namespace tulip::commands
