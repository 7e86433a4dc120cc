#include "simulator/scale.hpp"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "simulator/day.hpp"
#include "simulator/load.hpp"

namespace tulip::simulator {

std::uint64_t threadNs() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<std::uint64_t>(at.tv_sec) * 1000000000u + static_cast<std::uint64_t>(at.tv_nsec);
}

void Meter::calibrate() {
  constexpr int kTimes = 2000;
  const auto fromNs = threadNs();
  for (int i = 0; i < kTimes; ++i) (void)threadNs();
  clockNs = (threadNs() - fromNs) / kTimes;
}

std::uint64_t Meter::since(std::uint64_t fromNs) const {
  const auto spanNs = threadNs() - fromNs;
  return spanNs > clockNs ? spanNs - clockNs : 0;
}

void Meter::clear() {
  rows.clear();
  plans = batches = takeovers = {};
}

namespace {

constexpr Micros kMilli = 1000, kSecond = 1000000;
constexpr int kTasks = 16;

std::size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

FleetPlan fleetFor(const ScalePlan& plan) {
  FleetPlan fleet;
  fleet.zones = 7;
  fleet.workers = plan.workers;
  fleet.slots = plan.running * 5 / 4 / plan.workers + 2;
  fleet.network.drop = fleet.network.duplicate = fleet.network.late = 0;
  fleet.workerStepUs = 10 * kMilli;
  return fleet;
}

std::string configFor(const ScalePlan& plan, const FleetPlan& fleet) {
  Json config(json_object());
  json_t* lines = json_object();
  for (int i = 0; i < plan.lines; ++i) {
    json_t* line = json_object();
    json_object_set_new(line, "rank", json_integer(i % 3));
    json_object_set_new(line, "quotaSlots", json_integer(fleet.slots * fleet.workers));
    json_object_set_new(lines, ("team-" + std::to_string(i + 1)).c_str(), line);
  }
  json_object_set_new(config.get(), "pendings", lines);
  json_t *pool = json_object(), *pools = json_object();
  json_object_set_new(pool, "slots", json_integer(fleet.slots));
  json_object_set_new(pool, "workers", json_integer(fleet.workers));
  json_object_set_new(pools, "side", pool);
  json_object_set_new(config.get(), "pools", pools);
  return dumpJson(config.get());
}

class Scale {
 public:
  explicit Scale(const ScalePlan& given) : plan_(given), sim_(given.seed, fleetFor(given)) {
    rate_ = plan_.jobsPerSecond > 0 ? plan_.jobsPerSecond : static_cast<double>(plan_.running) / (8.0 * kTasks);
    runMs_ = std::max<Millis>(50, static_cast<Millis>(1000.0 * static_cast<double>(plan_.running) / (rate_ * kTasks)));
  }

  ScaleResult run() {
    fromNs_ = threadNs();
    result_.workers = plan_.workers;
    result_.residentBefore = residentBytes();
    result_.meter.calibrate();
    sim_.onJournal = [this](SimWorker&, const std::string& line) { noted(line); };
    sim_.onAlarm = [this](Host& host, const std::string& text) {
      if (result_.alarms.size() < 20) result_.alarms.push_back(host.name + ": " + text);
    };
    for (const auto& host : sim_.all()) sim_.start(*host);
    for (const auto& simWorker : sim_.simWorkers()) sim_.startWorker(*simWorker);
    if (!until(60 * kSecond, [this] { return sim_.leader() != nullptr; })) return cutShort();
    change("PUT", configFor(plan_, sim_.plan));
    if (!until(60 * kSecond, [this] { return inForce(); }) || !until(60 * kSecond, [this] { return allKnown(); }))
      return cutShort();
    result_.configMs = result_.configAnswerMs = -1;
    fill();
    sim_.runUntil(sim_.nowUs() + 3 * kSecond);
    arrivals();
    sim_.runUntil(sim_.nowUs() + kSecond);
    measure();
    if (plan_.kill) takeOver();
    stopped_ = true;
    until(20 * kSecond + 4 * runMs_ * kMilli,
          [this] { return result_.finished >= result_.accepted && result_.accepted == result_.jobs; });
    weigh();
    return std::move(result_);
  }

 private:
  bool spent() const { return static_cast<double>(threadNs() - fromNs_) > plan_.mostCpuSeconds * 1e9; }

  ScaleResult cutShort() {
    result_.cutShort = true;
    return std::move(result_);
  }

  template <class Done>
  bool until(Micros spanUs, Done&& done) {
    const auto endUs = sim_.nowUs() + spanUs;
    while (sim_.nowUs() < endUs) {
      if (done()) return true;
      if (spent()) result_.cutShort = true;
      if (result_.cutShort) return false;
      sim_.runUntil(sim_.nowUs() + 10 * kMilli);
    }
    return done();
  }

  bool inForce() const {
    if (version_ == 0) return false;
    return std::all_of(sim_.all().begin(), sim_.all().end(), [&](const auto& host) {
      return !host->up || daemon::clientOf(*host->node).configVersion >= version_;
    });
  }

  bool allKnown() {
    auto* leader = sim_.leader();
    if (!leader) return false;
    const auto& workers = leader->node->scheduler->workers;
    result_.known = static_cast<int>(std::count_if(workers.begin(), workers.end(), [](const auto& each) {
      return each.second.heardMs >= 0 && each.second.last.workerHeard;
    }));
    return result_.known == plan_.workers;
  }

  void change(const std::string& method, std::string body) {
    version_ = 0;
    ask(method, "/configuration", body, [this](const std::string& text) {
      Json root = parseJson(text);
      version_ = static_cast<Version>(numberAt(root.get(), "revision"));
    });
  }

  // Resent until it is answered, each time to another scheduler.
  void ask(const std::string& method, const std::string& path, const std::string& body,
           const std::function<void(const std::string&)>& done) {
    transport::Ask text;
    text.method = method;
    text.path = path;
    text.body = body;
    if (path == "/configuration") text.requestName = "t-" + std::to_string(std::hash<std::string>{}(body));
    const auto schedulers = sim_.hosts(Role::scheduler);
    auto& host = *schedulers[static_cast<std::size_t>(++asked_) % schedulers.size()];
    sim_.ask(host, text, [this, method, path, body, done](const Reply& reply) {
      if (!reply.lost && reply.status < 400) return done(reply.body);
      if (!reply.lost && reply.status < 500) {
        result_.alarms.push_back("denied: " + reply.body);
        return;
      }
      sim_.after((reply.retryMs > 0 ? reply.retryMs : 100) * kMilli,
                 [this, method, path, body, done] { ask(method, path, body, done); });
    });
  }

  std::string submit(std::int64_t tasks, Millis runMs, bool gang = false) {
    const auto number = ++result_.jobs;
    JobSketch job;
    job.id = "j" + std::to_string(number);
    job.line = "team-" + std::to_string(number % plan_.lines + 1);
    StepSketch step;
    step.name = "s";
    step.count = tasks;
    step.runMs = step.estimateMs = runMs;
    step.together = gang;
    job.steps.push_back(step);
    result_.tasks += tasks;
    handedInMs_[job.id] = sim_.nowMs();
    left_[job.id] = tasks;
    ask("POST", "/jobs", jobBody(job, sim_.wallMs()), [this](const std::string&) { ++result_.accepted; });
    return job.id;
  }

  void fill() {
    for (std::int64_t left = plan_.running; left > 0; left -= kTasks)
      submit(std::min<std::int64_t>(left, kTasks), 50 + sim_.below(runMs_) + 3000);
  }

  void arrivals() {
    sim_.after(static_cast<Micros>(static_cast<double>(kSecond) / rate_), [this] {
      if (stopped_) return;
      submit(kTasks, runMs_);
      arrivals();
    });
  }

  void measure() {
    sim_.meter = &result_.meter;
    result_.meter.clear();
    const auto startUs = sim_.nowUs();
    const auto endUs = startUs + static_cast<Micros>(plan_.seconds * kSecond);
    sim_.runUntil(startUs + (endUs - startUs) / 4);
    result_.gang = std::min<std::int64_t>(256, std::max<std::int64_t>(2, plan_.running / 8));
    gangJob_ = submit(result_.gang, runMs_, true);
    sim_.runUntil(startUs + (endUs - startUs) / 2);
    const auto changedMs = sim_.nowMs();
    change("PATCH", R"({"pendings":{"team-1":{"rank":4}}})");
    const bool forced = until(20 * kSecond, [this] { return inForce(); });
    if (forced) result_.configMs = sim_.nowMs() - changedMs;
    while (sim_.nowUs() < endUs && !spent()) sim_.runUntil(std::min(endUs, sim_.nowUs() + 50 * kMilli));
    result_.cutShort = result_.cutShort || spent();
    result_.seconds = static_cast<double>(sim_.nowUs() - startUs) / kSecond;
    result_.running = result_.starts - result_.ends;
    for (const auto& [id, ms] : firstMs_)
      if (handedInMs_.at(id) * kMilli >= startUs && id != gangJob_) result_.startMs.push_back(ms - handedInMs_.at(id));
    sim_.meter = nullptr;
    result_.resident = residentBytes();
    if (auto* leader = sim_.leader()) {
      result_.configBytes = daemon::clientOf(*leader->node).configText.size();
      for (const auto& [key, entry] : leader->node->scheduler->current) {
        ++result_.stored;
        result_.storedBytes += key.size() + entry.value.size();
      }
    }
  }

  static std::size_t heap() {
    const auto all = mallinfo2();
    return all.uordblks + all.hblkhd;
  }

  void takeOver() {
    auto* leader = sim_.leader();
    if (!leader || result_.cutShort) return;
    Meter meter;
    meter.clockNs = result_.meter.clockNs;
    sim_.meter = &meter;
    const auto killedMs = sim_.nowMs();
    const auto before = heap();
    killed_ = true;
    sim_.crash(*leader);
    result_.leaderBytes = before - std::min(before, heap());
    stopped_ = true;
    if (until(30 * kSecond, [this] { return sim_.leader() != nullptr; })) {
      result_.takeoverMs = sim_.nowMs() - killedMs;
      result_.takeoverNs = meter.takeovers.ns;
      const auto id = submit(1, 100);
      if (until(30 * kSecond, [&] { return firstMs_.contains(id); })) result_.planAgainMs = sim_.nowMs() - killedMs;
    }
    sim_.meter = nullptr;
    sim_.start(*leader);
  }

  void weigh() {
    if (result_.cutShort) return;
    auto lose = [this](Role role, std::size_t& bytes) {
      auto hosts = sim_.hosts(role);
      auto* host = *std::find_if(hosts.begin(), hosts.end(), [&](auto* each) { return each != sim_.leader(); });
      const auto before = heap();
      host->node.reset();
      bytes = before - std::min(before, heap());
      host->up = false;
    };
    lose(Role::scheduler, result_.schedulerBytes);
    lose(Role::replica, result_.replicaBytes);
    lose(Role::agent, result_.agentBytes);
  }

  void noted(const std::string& line) {
    const bool start = line.starts_with("start ");
    if (!start && !line.starts_with("end ")) return;
    const auto from = line.find(' ') + 1;
    const auto run = line.substr(from, line.find(' ', from) - from);
    const auto task = run.substr(0, run.rfind(':'));
    const auto job = run.substr(0, run.find(':'));
    if (start) {
      ++result_.starts;
      firstMs_.try_emplace(job, sim_.nowMs());
      if (!started_.insert(task).second) ++result_.startedTwice;
      if (job == gangJob_ && ++gangStarted_ == result_.gang) result_.gangMs = sim_.nowMs() - handedInMs_.at(job);
      return;
    }
    ++result_.ends;
    if (!line.ends_with(" clean")) {
      ++result_.unclean;
      if (killed_) ++result_.lostByKill;
      return;
    }
    if (!ended_.insert(task).second)
      ++result_.endedTwice;
    else if (--left_.at(job) == 0)
      ++result_.finished;
  }

  ScalePlan plan_;
  Sim sim_;
  ScaleResult result_;
  std::uint64_t fromNs_ = 0;
  double rate_ = 1;
  Millis runMs_ = 1000;
  Version version_ = 0;
  std::uint64_t asked_ = 0;
  bool stopped_ = false, killed_ = false;
  std::string gangJob_;
  std::int64_t gangStarted_ = 0;
  std::unordered_map<std::string, Millis> handedInMs_, firstMs_;
  std::unordered_map<std::string, std::int64_t> left_;
  std::set<std::string> started_, ended_;
};

template <class... Parts>
void put(std::string& text, const char* format, Parts... parts) {
  char line[256];
  std::snprintf(line, sizeof line, format, parts...);
  text += line;
}

}  // namespace

ScaleResult runScale(const ScalePlan& plan) { return Scale(plan).run(); }

std::string table(const ScaleResult& result) {
  std::string text;
  const auto seconds = std::max(0.001, result.seconds);
  std::map<std::string, double> daemons{
      {"leader", 1}, {"scheduler", 3}, {"replica", 3}, {"agent", std::max(1, result.workers)}};
  put(text, "%-7s %-17s %11s %12s %11s %12s %11s %11s %11s\n", "role", "kind", "sent/s", "sent B/s", "received/s",
      "received B/s", "core us", "codec us", "most us");
  std::map<std::string, Meter::Row> sums;
  for (const auto& [key, row] : result.meter.rows) {
    auto& sum = sums[key.first];
    const auto each = daemons[key.first];
    const auto per = [&](std::uint64_t count) { return static_cast<double>(count) / seconds / each; };
    put(text, "%-7s %-17s %11.2f %12.0f %11.2f %12.0f %11.2f %11.2f %11.1f\n", key.first.c_str(), key.second.c_str(),
        per(row.sent), per(row.sentBytes), per(row.received), per(row.receivedBytes),
        row.received ? static_cast<double>(row.stepNs) / 1000.0 / static_cast<double>(row.received) : 0.0,
        static_cast<double>(row.encodeNs + row.decodeNs) / 1000.0 /
            static_cast<double>(std::max<std::uint64_t>(1, row.sent + (row.decodeNs ? row.received : 0))),
        static_cast<double>(row.mostStepNs) / 1000.0);
    sum.sent += row.sent;
    sum.sentBytes += row.sentBytes;
    sum.receivedBytes += row.receivedBytes;
    sum.stepNs += row.stepNs;
    sum.encodeNs += row.encodeNs + row.decodeNs;
  }
  text += "each daemon of a role:\n";
  for (const auto& [role, sum] : sums) {
    const auto each = daemons[role];
    put(text,
        "%-7s sends %.2f messages/s, %.0f B/s; receives %.0f B/s; core %.4f %% "
        "and codec %.4f %% of a processor\n",
        role.c_str(), static_cast<double>(sum.sent) / seconds / each,
        static_cast<double>(sum.sentBytes) / seconds / each, static_cast<double>(sum.receivedBytes) / seconds / each,
        static_cast<double>(sum.stepNs) / 1e7 / seconds / each,
        static_cast<double>(sum.encodeNs) / 1e7 / seconds / each);
  }
  const auto span = [&](const char* name, const Meter::Span& each) {
    put(text, "%s: %llu, mean %.1f us, most %.1f us\n", name, static_cast<unsigned long long>(each.count),
        each.count ? static_cast<double>(each.ns) / 1000.0 / static_cast<double>(each.count) : 0.0,
        static_cast<double>(each.mostNs) / 1000.0);
  };
  span("plans", result.meter.plans);
  span("batches", result.meter.batches);
  put(text,
      "takeover: another leads after %lld ms, its step %.1f us; work starts "
      "again after %lld ms\n",
      static_cast<long long>(result.takeoverMs), static_cast<double>(result.takeoverNs) / 1000.0,
      static_cast<long long>(result.planAgainMs));
  put(text, "configuration of %zu bytes changed: in force everywhere after %lld ms\n", result.configBytes,
      static_cast<long long>(result.configMs));
  put(text,
      "start latency of a job: p50 %lld ms, p99 %lld ms over %zu; a gang of "
      "%lld whole after %lld ms\n",
      static_cast<long long>(quantile(result.startMs, 0.5)), static_cast<long long>(quantile(result.startMs, 0.99)),
      result.startMs.size(), static_cast<long long>(result.gang), static_cast<long long>(result.gangMs));
  put(text,
      "resident %.1f MB, %.1f KB a worker; heap of one: leader %.1f KB, "
      "scheduler %.1f KB, replica %.1f KB, agent %.1f "
      "KB; stored %zu entries of %zu bytes\n",
      static_cast<double>(result.resident) / 1e6,
      static_cast<double>(result.resident - std::min(result.resident, result.residentBefore)) / 1e3 /
          std::max(1, result.workers),
      static_cast<double>(result.leaderBytes) / 1e3, static_cast<double>(result.schedulerBytes) / 1e3,
      static_cast<double>(result.replicaBytes) / 1e3, static_cast<double>(result.agentBytes) / 1e3, result.stored,
      result.storedBytes);
  put(text,
      "%d workers, %d known; %lld running; %.1f s; jobs %lld handed in, %lld "
      "accepted, %lld finished; tasks %lld, "
      "starts %lld (%lld twice), ends %lld (%lld twice, %lld unclean, %lld of "
      "them after the kill)%s\n",
      result.workers, result.known, static_cast<long long>(result.running), result.seconds,
      static_cast<long long>(result.jobs), static_cast<long long>(result.accepted),
      static_cast<long long>(result.finished), static_cast<long long>(result.tasks),
      static_cast<long long>(result.starts), static_cast<long long>(result.startedTwice),
      static_cast<long long>(result.ends), static_cast<long long>(result.endedTwice),
      static_cast<long long>(result.unclean), static_cast<long long>(result.lostByKill),
      result.cutShort ? "; cut short" : "");
  for (const auto& line : result.alarms) text += "  " + line + "\n";
  return text;
}

}  // namespace tulip::simulator
