#include <tclap/CmdLine.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>

#include "base/errors.hpp"
#include "commands/commands.hpp"
#include "daemon/daemon.hpp"
#include "simulator/journals.hpp"
#include "simulator/long_day.hpp"
#include "simulator/scale.hpp"
#include "simulator/whatif.hpp"

namespace tulip::commands {

namespace {

std::vector<simulator::LineLoad> loadFrom(const std::string& name) {
  const auto& names = simulator::loadNames();
  if (std::find(names.begin(), names.end(), name) != names.end()) return simulator::builtInLoad(name);
  std::ifstream in(name);
  std::stringstream text;
  text << in.rdbuf();
  std::vector<simulator::LineLoad> lines;
  config::Fault fault;
  if (!in || !simulator::readLoad(text.str(), lines, fault))
    throw TCLAP::ArgException(in ? fault.path + ": allowed is " + fault.allowed : "cannot be read", name);
  return lines;
}

int runPlaces(const std::string& where, int most, std::uint64_t seed, int threads, bool verbose) {
  const auto operation = where.substr(0, where.find('@'));
  const auto names = simulator::operationNames();
  if (where == "list") {
    for (const auto& name : names) std::cout << name << "\n";
    return 0;
  }
  if (std::find(names.begin(), names.end(), operation) == names.end())
    throw TCLAP::ArgException("allowed is an operation that 'list' prints", "place");
  const auto plan = simulator::operationDay(operation, seed);
  std::vector<simulator::Place> places(1);
  if (operation != where) {
    if (!simulator::readPlace(where.substr(operation.size() + 1), places.front()))
      throw TCLAP::ArgException("allowed is POINT:NTH:SIDE:BLOW, as a broken day prints it", "place");
  } else {
    const auto quiet = simulator::runDay(plan);
    if (!quiet.broken.empty())
      std::cout << "broken without a blow: " << quiet.broken.front().rule << ": " << quiet.broken.front().what << "\n";
    places = simulator::allPlaces(quiet.points, most, operation != "cohort-change");
  }
  std::mutex guard;
  std::size_t broken = 0, struck = 0;
  std::map<std::string, std::size_t> perRule;
  simulator::inThreads(threads, places.size(), [&](std::size_t at) {
    auto mine = plan;
    mine.place = places[at];
    const auto result = simulator::runDay(mine);
    std::lock_guard lock(guard);
    struck += result.placed;
    broken += !result.broken.empty();
    if (!result.broken.empty())
      std::cout << operation << "@" << simulator::placeText(places[at]) << " seed " << seed << "\n";
    for (std::size_t k = 0; k < result.broken.size() && k < 3; ++k)
      std::cout << "    at " << result.broken[k].atMs << " ms, " << result.broken[k].rule << ": "
                << result.broken[k].what << "\n";
    for (const auto& each : result.broken) ++perRule[each.rule];
    if (verbose)
      for (const auto& text : result.alarms) std::cout << "    " << text << "\n";
  });
  std::cout << operation << ": " << places.size() << " places, " << struck << " struck, " << broken << " broken\n";
  for (const auto& [rule, count] : perRule) std::cout << "  " << rule << ": " << count << "\n";
  return broken ? 1 : 0;
}

int runDays(const std::vector<simulator::DayPlan>& plans, int threads, bool verbose, const std::string& untilRule) {
  std::size_t ran = 0;
  std::size_t firstBroken = plans.size();
  std::string firstRule;
  std::atomic<bool> enough{false};
  std::mutex guard;
  std::size_t broken = 0;
  std::uint64_t checks = 0;
  std::map<std::string, std::size_t> perRule;
  std::vector<Millis> recovered;
  simulator::inThreads(threads, plans.size(), [&](std::size_t at) {
    if (enough) return;
    const auto result = simulator::runDay(plans[at]);
    std::lock_guard lock(guard);
    ++ran;
    const auto hit = std::find_if(result.broken.begin(), result.broken.end(),
                                  [&](const auto& each) { return untilRule == "any" || untilRule == each.rule; });
    if (hit != result.broken.end() && at < firstBroken) {
      firstBroken = at;
      firstRule = hit->rule;
      enough = true;
    }
    checks += static_cast<std::uint64_t>(result.checks);
    recovered.push_back(result.recoveredMs);
    if (!result.broken.empty()) ++broken;
    if (verbose || !result.broken.empty()) std::cout << simulator::summary(result) << "\n";
    const std::size_t most = verbose ? result.broken.size() : std::min<std::size_t>(4, result.broken.size());
    for (std::size_t k = 0; k < most; ++k)
      std::cout << "    at " << result.broken[k].atMs << " ms, " << result.broken[k].rule << ": "
                << result.broken[k].what << "\n";
    for (const auto& each : result.broken) ++perRule[each.rule];
    if (verbose) {
      std::map<std::string, std::vector<Millis>> startOf;
      for (const auto& [id, job] : result.truth)
        if (job.firstStartMs >= 0) startOf[job.line].push_back(job.firstStartMs - job.submittedMs - job.notBeforeMs);
      for (const auto& [line, values] : startOf)
        std::cout << "    " << line << ": " << values.size() << " started, p50/p99/longest "
                  << simulator::quantile(values, 0.5) << "/" << simulator::quantile(values, 0.99) << "/"
                  << simulator::quantile(values, 1.0) << " ms\n";
      for (const auto& line : result.alarms) std::cout << "    " << line << "\n";
      std::cout << "    the last leader: " << result.leaderCounters << "\n";
    }
    std::cout.flush();
  });
  if (firstBroken < plans.size())
    std::cout << "first broken: day " << firstBroken + 1 << " seed " << plans[firstBroken].seed << " rule " << firstRule
              << "\n";
  std::cout << ran << " days, " << broken << " broken, " << checks << " checks; recovery p50 "
            << simulator::quantile(recovered, 0.5) << " p99 " << simulator::quantile(recovered, 0.99) << " ms\n";
  for (const auto& [rule, count] : perRule) std::cout << "  " << rule << ": " << count << "\n";
  return broken ? 1 : 0;
}

int runWhatIf(simulator::DayPlan plan, const std::vector<simulator::Variant>& variants, int threads) {
  std::vector<simulator::DayResult> results(variants.size());
  simulator::inThreads(threads, variants.size(), [&](std::size_t at) {
    auto mine = plan;
    mine.configPatch = variants[at].patch;
    results[at] = simulator::runDay(mine);
  });
  std::vector<std::pair<std::string, std::vector<simulator::Figure>>> columns;
  bool broken = false;
  for (std::size_t i = 0; i < variants.size(); ++i) {
    columns.emplace_back(variants[i].name, simulator::figuresOf(results[i], plan.arrivals));
    for (const auto& each : results[i].broken) {
      std::cout << variants[i].name << " at " << each.atMs << " ms, " << each.rule << ": " << each.what << "\n";
      broken = true;
    }
  }
  std::cout << "seed " << plan.seed << ", " << plan.arrivals.size() << " jobs\n" << simulator::sideBySide(columns);
  return broken ? 1 : 0;
}

template <class Value>
Value within(const TCLAP::ValueArg<Value>& arg, Value least, Value most, const char* allowed) {
  const auto value = arg.getValue();
  if (!(value >= least && value <= most))
    throw TCLAP::ArgException(std::string("allowed is ") + allowed, arg.getName());
  return value;
}

// The command's options, under the names that the command line knows them by.
struct SimulateOptions {
  TCLAP::CmdLine line{"simulated days: the daemons' own code under simulated time, network, disks and workers", ' ',
                      "0.1.0"};
  TCLAP::ValueArg<std::string> load{
      "",
      "load",
      "leatherwood, kerala or heavy, either of the first two with -steps or -grown, or a scenario file",
      false,
      "leatherwood",
      "NAME",
      line};
  TCLAP::ValueArg<std::string> fault{
      "", "faults", "joined by commas; 'list' names them; 'pairs' draws one or two by seed", false, "", "NAMES", line};
  TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "first seed", false, 1, "N", line};
  TCLAP::ValueArg<std::uint64_t> count{"", "days", "how many seeds", false, 1, "N", line};
  TCLAP::ValueArg<double> seconds{"", "seconds", "length of a day", false, 16, "S", line};
  TCLAP::ValueArg<double> factor{"", "load-factor", "times the load", false, 1, "X", line};
  TCLAP::ValueArg<std::string> rule{"", "rule", "las, gittins or fifo", false, "las", "RULE", line};
  TCLAP::SwitchArg longDay{"", "long",
                           "long days on a site's fleet: troubles at any hour, hundreds of changes, links and disks "
                           "that take time by the byte, the loss of the whole control side at the end; --load is "
                           "kerala-grown, or another with -steps or -grown",
                           line};
  TCLAP::SwitchArg site{"", "site", "a site's fleet, with links and disks that take time by the byte", line};
  TCLAP::ValueArg<int> threads{"", "threads", "days side by side", false, 4, "N", line};
  TCLAP::ValueArg<std::string> trace{"", "trace", "write the first day's event trace here", false, "", "FILE", line};
  TCLAP::SwitchArg stays{"", "no-self-stop", "workers go on when unheard past their term", line};
  TCLAP::ValueArg<std::string> untilRule{
      "",     "until-rule", "stop at the first day that breaks this rule, or 'any', and name its seed", false, "",
      "RULE", line};
  TCLAP::ValueArg<std::string> place{
      "",
      "place",
      "OPERATION, or OPERATION@POINT:NTH:SIDE:BLOW: a blow at every step of one operation; 'list' names them",
      false,
      "",
      "WHERE",
      line};
  TCLAP::ValueArg<int> placeMost{"", "place-most", "how many of each kind of step to strike at", false, 8, "N", line};
  TCLAP::SwitchArg verbose{"v", "verbose", "print every day and its alarms", line};
  TCLAP::MultiArg<std::string> variant{
      "",    "variant",    "what-if: NAME=PATCH, a merge patch of the configuration; give two or more",
      false, "NAME=PATCH", line};
  TCLAP::ValueArg<std::string> replay{
      "", "replay", "what-if: a trace that 'ctl trace' wrote, instead of a load", false, "", "FILE", line};
  TCLAP::ValueArg<std::string> journals{
      "", "journals", "judge the journals of a real fleet's workers in this folder", false, "", "FOLDER", line};
  TCLAP::SwitchArg scale{"", "scale", "measure a large fleet: messages, bytes and processor time by role and kind",
                         line};
  TCLAP::ValueArg<int> scaleWorkers{"",  "scale-workers", "simulated workers, each with its agent", false, 100, "N",
                                    line};
  TCLAP::ValueArg<int> scaleRunning{"",  "scale-running", "tasks at work at any time; 0: 12 a worker", false, 0, "N",
                                    line};
  TCLAP::ValueArg<double> scaleJobs{
      "", "scale-jobs-per-s", "jobs of 16 tasks a second; 0: such that a task takes 8 s", false, 0, "X", line};
  TCLAP::ValueArg<int> scaleLines{"",  "scale-lines", "lines of the configuration, each with a quota", false, 10,
                                  "N", line};
  TCLAP::ValueArg<double> scaleSeconds{"", "scale-seconds", "simulated seconds to measure", false, 5, "S", line};

  int sideBySide() const { return std::max(1, threads.getValue()); }
};

// Measures a large fleet and prints the table.
int runScaleTable(const SimulateOptions& options) {
  simulator::ScalePlan plan;
  plan.workers = within(options.scaleWorkers, 1, 10000, "1 to 10000");
  plan.running = within(options.scaleRunning, 0, 200000, "0 to 200000");
  if (plan.running == 0) plan.running = 12LL * plan.workers;
  plan.jobsPerSecond = within(options.scaleJobs, 0.0, 10000.0, "0 to 10000");
  plan.lines = within(options.scaleLines, 1, 10000, "1 to 10000");
  plan.seconds = within(options.scaleSeconds, 0.5, 600.0, "0.5 to 600");
  plan.seed = options.seed.getValue();
  const auto result = simulator::runScale(plan);
  std::cout << simulator::table(result);
  return result.cutShort ? 1 : 0;
}

// Reads the variants of a what-if, each as NAME=PATCH.
std::vector<simulator::Variant> readVariants(const SimulateOptions& options) {
  std::vector<simulator::Variant> variants;
  for (const auto& text : options.variant.getValue()) {
    const auto equals = text.find('=');
    Json patch = equals == std::string::npos ? nullptr : parseJson(std::string_view(text).substr(equals + 1));
    if (!json_is_object(patch.get())) throw TCLAP::ArgException("allowed is NAME=PATCH with a JSON object", "variant");
    variants.push_back({text.substr(0, equals), text.substr(equals + 1)});
  }
  return variants;
}

// Reads the arrivals of a what-if from a trace.
std::vector<simulator::Arrival> readReplay(const SimulateOptions& options) {
  std::vector<simulator::Arrival> arrivals;
  std::ifstream in(options.replay.getValue());
  std::stringstream text;
  text << in.rdbuf();
  std::size_t badLine = 0;
  std::string allowed;
  if (!in || !simulator::readTrace(text.str(), arrivals, badLine, allowed))
    throw TCLAP::ArgException(in ? "line " + std::to_string(badLine) + ": allowed is " + allowed : "cannot be read",
                              options.replay.getValue());
  return arrivals;
}

// Compares the variants on the same arrivals.
int runVariants(const SimulateOptions& options) {
  simulator::DayPlan plan;
  plan.seed = options.seed.getValue();
  plan.fleet.tickUs = 25000;
  const auto variants = readVariants(options);
  if (options.replay.getValue().empty())
    plan.arrivals = simulator::drawArrivals(loadFrom(options.load.getValue()), options.seconds.getValue(),
                                            options.factor.getValue(), options.seed.getValue());
  else
    plan.arrivals = readReplay(options);
  plan.seconds = 8 + static_cast<double>(plan.arrivals.empty() ? 0 : plan.arrivals.back().atMs) / 1000;
  plan.tailSeconds = 1800;
  return runWhatIf(std::move(plan), variants, options.sideBySide());
}

// Judges the journals of a real fleet and prints the verdict.
int runJournals(const SimulateOptions& options) {
  const auto verdict = simulator::judgeJournals(options.journals.getValue());
  for (const auto& fault : verdict.broken) std::cout << fault << "\n";
  std::cout << verdict.starts << " starts, " << verdict.cleanTasks << " tasks ended cleanly, " << verdict.broken.size()
            << " broken, " << verdict.unacknowledgedReruns
            << " run again after an end that died unacknowledged; callers saw " << verdict.accepted << " accepted, "
            << verdict.ended << " ended, " << verdict.reads << " readings of the configuration; " << verdict.torn
            << " torn lines\n";
  return verdict.broken.empty() && verdict.starts > 0 ? 0 : 1;
}

// Prints the names that --faults takes.
int listFaults() {
  for (const auto& name : simulator::faultNames()) std::cout << name << "\n";
  return 0;
}

// Throws if the rule to stop at is none of the judge's.
void checkUntilRule(const SimulateOptions& options) {
  const auto& rules = simulator::ruleNames();
  if (const auto& until = options.untilRule.getValue();
      !until.empty() && until != "any" && std::find(rules.begin(), rules.end(), until) == rules.end())
    throw TCLAP::ArgException("allowed is 'any' or one of the judge's rules, which docs/invariants.md lists",
                              "until-rule");
}

// Sets the faults drawn by the day's seed, or adds those that are named.
void chooseFaults(const SimulateOptions& options, simulator::DayPlan& plan) {
  if (options.fault.getValue() == "pairs") {
    plan.faults = simulator::drawFaults(plan.seed);
    return;
  }
  const auto names = simulator::faultNames();
  std::stringstream parts(options.fault.getValue());
  for (std::string part; std::getline(parts, part, ',');) {
    if (std::find(names.begin(), names.end(), part) == names.end())
      throw TCLAP::ArgException("allowed is a name that 'list' prints", part);
    plan.faults.push_back(part);
  }
}

// The plan of one day with this seed.
simulator::DayPlan planDay(const SimulateOptions& options, std::uint64_t seed) {
  simulator::DayPlan plan;
  plan.seed = seed;
  if (options.longDay.getValue()) plan = simulator::longDayPlan(options.load.getValue(), plan.seed);
  plan.load = loadFrom(options.load.getValue());
  plan.fleet = options.longDay.getValue() || options.site.getValue() ? simulator::siteFleetOf(options.load.getValue())
                                                                     : simulator::fleetOf(options.load.getValue());
  if (!options.longDay.getValue() || options.seconds.isSet()) plan.seconds = options.seconds.getValue();
  if (!options.longDay.getValue() || options.factor.isSet()) plan.loadFactor = options.factor.getValue();
  plan.rule = options.rule.getValue();
  if (std::any_of(plan.load.begin(), plan.load.end(), [](const auto& each) { return each.heavyTail > 0; }))
    plan.tailSeconds = 400;
  plan.fleet.selfStop = !options.stays.getValue();
  chooseFaults(options, plan);
  return plan;
}

// Runs one day for each seed, tracing the first if asked to.
int runPlannedDays(const SimulateOptions& options) {
  std::vector<simulator::DayPlan> plans;
  for (std::uint64_t i = 0; i < options.count.getValue(); ++i)
    plans.push_back(planDay(options, options.seed.getValue() + i));
  std::ofstream traceOut;
  if (!options.trace.getValue().empty() && !plans.empty()) {
    traceOut.open(options.trace.getValue());
    plans.front().trace = &traceOut;
  }
  return runDays(plans, options.sideBySide(), options.verbose.getValue(), options.untilRule.getValue());
}

// Runs what the options ask for; the exit code of the command.
int runChosen(const SimulateOptions& options) {
  if (options.scale.getValue()) return runScaleTable(options);
  if (!options.variant.getValue().empty()) return runVariants(options);
  if (!options.journals.getValue().empty()) return runJournals(options);
  if (options.fault.getValue() == "list") return listFaults();
  if (!options.place.getValue().empty())
    return runPlaces(options.place.getValue(), options.placeMost.getValue(), options.seed.getValue(),
                     options.sideBySide(), options.verbose.getValue());
  checkUntilRule(options);
  return runPlannedDays(options);
}

}  // namespace

int runSimulate(int argc, char** argv) {
  try {
    SimulateOptions options;
    options.line.setExceptionHandling(false);
    options.line.parse(argc, argv);
    return runChosen(options);
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "simulate: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
}

}  // namespace tulip::commands
