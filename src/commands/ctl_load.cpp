// Jobs submitted as a scenario says, each followed to its end.
#include <tclap/CmdLine.h>

#include <iostream>
#include <random>
#include <set>

#include "base/json.hpp"
#include "commands/ctl.hpp"
#include "simulator/load.hpp"

namespace tulip::commands {
namespace {

constexpr int kExitIncomplete = 9;  // something was lost, unanswered or not ended in time

struct LoadRun {
  const CtlClient& ctl;
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
  void after(double seconds, const std::function<void()>& act) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        context, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    timer->async_wait([timer, act](boost::system::error_code) { act(); });
  }
  void call(const CtlRequest& request, std::function<void(http::CallReply)> done) {
    http::CallOut out;
    out.to = ctl.at[random() % ctl.at.size()];
    out.method = request.method;
    out.target = request.target;
    out.body = request.body;
    http::callHttp(context, std::move(out), std::move(done));
  }
  void submit(const std::string& id, const std::string& body) {
    ++tries;
    if (seen.insert(id).second) writeJournal(ctl, "submit " + body);
    call({"POST", "/jobs", body}, [this, id, body](const http::CallReply& reply) {
      if (reply.status == 200 || reply.status == 201) {
        acceptedMs[id] = sinceMs(id);
        writeJournal(ctl, "accepted " + id);
        if (!ctl.journal.empty() && dice() < 0.05) after(0.1 + dice(), [this, id] { cancel(id); });
        return poll(id);
      }
      if (reply.status >= 400 && reply.status < 500) {
        ++rejected;
        writeJournal(ctl, "denied " + id);
        since.erase(id);
        return;
      }
      if (std::chrono::steady_clock::now() < hard)
        after(reply.retryAfterMs > 0 ? static_cast<double>(reply.retryAfterMs) / 1000 : 0.1,
              [this, id, body] { submit(id, body); });
    });
  }
  void cancel(const std::string& id) {
    call({"DELETE", "/jobs/" + id, ""}, [this, id](const http::CallReply& reply) {
      if (reply.status == 200)
        writeJournal(ctl, "cancelled " + id);
      else if (http::mayRepeat(http::CallClass::cancelJob, lossOf(reply)))
        after(0.2, [this, id] { cancel(id); });
    });
  }
  void readConfig() {
    const auto askedMs = steadyMs();
    call({"GET", "/configuration", ""}, [this, askedMs](const http::CallReply& reply) {
      Json view = parseJson(reply.body);
      const auto version = view ? numberAt(view.get(), "revision") : 0;
      if (reply.status == 200 && version > 0)
        writeJournal(ctl, "read " + std::to_string(version) + " " + std::to_string(askedMs));
      const char* line;
      json_t* pending;
      if (!std::exchange(limitsKnown, reply.status == 200 || limitsKnown))
        json_object_foreach(json_object_get(json_object_get(view.get(), "configuration"), "pendings"), line, pending)
            writeJournal(ctl,
                         "limit " + std::string(line) + " " + std::to_string(numberAt(pending, "failureLimit", 3)));
      if (std::chrono::steady_clock::now() < until) after(0.2 + 0.2 * dice(), [this] { readConfig(); });
    });
  }
  void poll(const std::string& id) {
    call({"GET", "/jobs/" + id, ""}, [this, id](const http::CallReply& reply) {
      Json view = parseJson(reply.body);
      if (reply.status == 404) {
        ++lost;
        writeJournal(ctl, "unknown " + id);
      }
      const auto state = view ? textAt(view.get(), "state") : "";
      if (state == "finished" || state == "failed" || state == "cancelled" || state == "expired") {
        ++ends[state];
        writeJournal(ctl, "shown " + id + " " + state);
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
  values.reserve(byJob.size());
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

}  // namespace

int runLoad(const CtlClient& ctl, const std::string& scenario, double seconds, double factor) {
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
  const auto count = [](std::size_t number) { return json_integer(static_cast<json_int_t>(number)); };
  Json root(json_object());
  json_object_set_new(root.get(), "jobs", count(run.asked));
  json_object_set_new(root.get(), "accepted", count(run.acceptedMs.size()));
  json_object_set_new(root.get(), "ended", count(run.finishedMs.size()));
  json_object_set_new(root.get(), "denied", count(run.rejected));
  json_object_set_new(root.get(), "forgotten", count(run.lost));
  json_object_set_new(root.get(), "submitTries", count(run.tries));
  for (const auto& [state, ended] : run.ends) json_object_set_new(root.get(), state.c_str(), json_integer(ended));
  json_object_set_new(root.get(), "submitMs", quantiles(run.acceptedMs));
  json_object_set_new(root.get(), "acceptToStartMs", quantiles(run.startedMs));
  json_object_set_new(root.get(), "acceptToFinishMs", quantiles(run.finishedMs));
  std::cout << dumpJson(root.get(), JSON_INDENT(1) | JSON_PRESERVE_ORDER) << "\n";
  const bool allEnded = run.finishedMs.size() == run.acceptedMs.size();
  const bool allAnswered = run.acceptedMs.size() + run.rejected == run.asked;
  return allEnded && allAnswered && run.lost == 0 ? 0 : kExitIncomplete;
}

}  // namespace tulip::commands
