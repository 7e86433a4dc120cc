#include "simulator/world.hpp"

#include <algorithm>

#include "base/errors.hpp"
#include "simulator/footprint.hpp"

namespace tulip::simulator {

using transport::Ask;

namespace {

constexpr double kResendShare = 0.4;
constexpr Micros kResendWithinUs = kSecond;

// The error says that nothing was taken, rather than that it is not known.
bool notTakenBy(const std::string& error) {
  for (const auto kind : {Kind::noLeader, Kind::overloaded, Kind::notReady})
    if (rowOf(kind).name == error) return true;
  return false;
}

std::set<std::string> poolsOf(const FleetPlan& fleet) {
  std::set<std::string> names;
  for (int i = 0; i < fleet.workers; ++i) names.insert(poolOf(fleet, i));
  return names;
}

std::string stepConfig(const DayPlan& plan) {
  Json config(json_object());
  json_t *lines = json_object(), *pools = json_object(), *zones = json_object();
  json_object_set_new(lines, "probe", parseJson(R"({"rank":20})").release());
  for (const auto& line : plan.load) {
    Json made = parseJson(R"({"backoffMs":100})");
    json_object_set_new(made.get(), "rank", json_integer(line.rank));
    json_object_set_new(made.get(), "failureLimit", json_integer(line.failureLimit));
    if (line.aimMs) json_object_set_new(made.get(), "aimMs", json_integer(line.aimMs));
    if (line.stretch > 0) json_object_set_new(made.get(), "stretch", json_real(line.stretch));
    json_object_set_new(lines, line.line.c_str(), made.release());
  }
  const auto& fleet = plan.fleet;
  for (const auto& name : poolsOf(fleet)) {
    json_t* pool = json_object();
    int workers = 0;
    for (int i = 0; i < fleet.workers; ++i) workers += poolOf(fleet, i) == name;
    json_object_set_new(pool, "slots", json_integer(fleet.sizedPool ? fleet.slots : 0));
    json_object_set_new(pool, "workers", json_integer(workers));
    json_object_set_new(pool, "selfStop", json_boolean(fleet.selfStop));
    if (fleet.sizedPool) {
      json_t *capacity = json_object(), *labels = json_object();
      for (const auto& [kind, amount] : fleet.capacity)
        json_object_set_new(capacity, kind.c_str(), json_integer(amount));
      json_object_set_new(labels, "kind", jsonText(name));
      json_object_set_new(pool, "room", capacity);
      json_object_set_new(pool, "labels", labels);
    }
    json_object_set_new(pools, name.c_str(), pool);
  }
  for (int i = 0; i < fleet.zones; ++i)
    json_object_set_new(zones, zoneOf(fleet, i).c_str(), parseJson(R"({"emptied":false})").release());
  json_object_set_new(config.get(), "pendings", lines);
  json_object_set_new(config.get(), "pools", pools);
  json_object_set_new(config.get(), "cells", zones);
  Json admission =
      parseJson(R"({"lanes":2,"thresholdsMs":[4000],"promoteKnob":4,"reserveAfterMs":2000,"gangStartMs":3000})");
  json_object_set_new(admission.get(), "rule", jsonText(plan.rule));
  json_object_set_new(config.get(), "admission", admission.release());
  json_object_set_new(config.get(), "gangway", parseJson(R"({"mostTasks":1000})").release());
  return dumpJson(config.get());
}

}  // namespace

World::World(const DayPlan& given)
    : plan(given), sim(given.seed, given.fleet), judge(sim), grounds(groundsOf(given.fleet)) {
  endUs = static_cast<Micros>(plan.seconds * kSecond);
  quietUs = endUs * 3 / 4;
}

Host& World::anyHost(const Host* but) {
  const auto& all = sim.all();
  while (true) {
    auto& host = *all[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(all.size())))];
    if (plan.fleet.sharedMachines && host.settings.role != Role::scheduler) continue;
    if (&host != but && !retired.contains(host.name)) return host;
  }
}

Micros World::faultTime() { return fromUs + sim.below(std::max<Micros>(1, quietUs - fromUs - kSecond)); }

void World::call(Ask ask, std::function<void(Reply)> done) { callAt(anyHost(), std::move(ask), std::move(done)); }

Host& World::hostForJob(Ask& ask) {
  if (!sim.chance(throughAdapter)) return anyHost();
  ask.face = FaceKind::callers;
  return pick(Role::scheduler);
}

void World::callForJob(Ask ask, std::function<void(Reply)> done) {
  auto& host = hostForJob(ask);
  callAt(host, std::move(ask), std::move(done));
}

void World::callAt(Host& host, Ask ask, std::function<void(Reply)> done) {
  auto answered = std::make_shared<bool>(false);
  auto once = [answered, done = std::move(done)](Reply reply) {
    if (*answered) return;
    *answered = true;
    done(std::move(reply));
  };
  const bool answerLost = sim.chance(ackLoss);
  sim.ask(host, std::move(ask), [once, answerLost](Reply reply) {
    if (!answerLost) once(std::move(reply));
  });
  sim.after(4 * kSecond, [once] { once({true, 0, 0, {}}); });
}

void World::submit(std::string id, std::string body) {
  ++result.submitTries;
  Ask ask;
  ask.method = "POST";
  ask.path = "/jobs";
  ask.body = body;
  callForJob(std::move(ask), [this, id, body, askedMs = sim.nowMs()](const Reply& reply) {
    if (!reply.lost && (reply.status == 200 || reply.status == 201)) {
      const bool first = judge.jobs.at(id).acceptedMs < 0;
      judge.accepted(id);
      if (first) {
        ++result.accepted;
        result.submitMs.push_back((sim.nowUs() - submittedUs[id]) / 1000);
        poll(id);
      }
      Json view = parseJson(reply.body);
      judge.shown(id, 200, view.get(), askedMs);
      return;
    }
    if (!reply.lost && reply.status < 500) return judge.rejected(id, reply.status, reply.body);
    sim.after((reply.retryMs > 0 ? reply.retryMs : 100) * 1000 + sim.below(50000),
              [this, id, body] { submit(id, body); });
  });
}

void World::poll(const std::string& id) {
  Ask ask;
  ask.method = "GET";
  ask.path = "/jobs/" + id;
  auto& host = hostForJob(ask);
  callAt(host, std::move(ask), [this, &host, id, askedMs = sim.nowMs()](const Reply& reply) {
    if (!reply.lost) {
      Json view = parseJson(reply.body);
      judge.shown(id, reply.status, view.get(), askedMs);
      const auto& job = judge.jobs.at(id);
      // A daemon that counts as lost may be unable to tell; its caller asks another.
      const bool asksElsewhere = reply.status == rowOf(Kind::noLeader).status && sim.isLost(host);
      if (!job.shown.empty() && !asksElsewhere) return;
    }
    sim.after(250000 + sim.below(250000), [this, id] { poll(id); });
  });
}

void World::submitThen(const LineLoad& load, std::function<void(const std::string&)> then) {
  const auto id = "yes-" + std::to_string(++nextJob);
  auto body = makeJob(load, id, false, false);
  Ask ask;
  ask.method = "POST";
  ask.path = "/jobs";
  ask.body = body;
  callForJob(std::move(ask), [this, id, body, then = std::move(then)](const Reply& reply) {
    if (reply.lost || reply.status != 201) return submit(id, body);
    judge.accepted(id);
    ++result.accepted;
    poll(id);
    then(id);
  });
}

void World::cancel(const std::string& id, std::function<void()> then) {
  judge.jobs.at(id).cancelAskedMs = sim.nowMs();
  Ask ask;
  ask.method = "DELETE";
  ask.path = "/jobs/" + id;
  callForJob(std::move(ask), [this, id, then = std::move(then)](const Reply& reply) {
    if (!reply.lost && reply.status == 200) {
      judge.cancelled(id);
      if (then) then();
      return;
    }
    if (!reply.lost && reply.status < 500) return;
    sim.after(150000, [this, id, then] { cancel(id, then); });
  });
}

std::string World::makeJob(const LineLoad& load, const std::string& id, bool neverSucceeds, bool huge) {
  auto sketch = sketchJob(
      load, id, [this] { return sim.unit(); }, grounds);
  if (huge && sketch.steps.empty()) {
    sketch.gang = true;
    sketch.tasks.resize(6);
    for (std::size_t i = 0; i < sketch.tasks.size(); ++i) {
      sketch.tasks[i].name = "t" + std::to_string(i);
      sketch.tasks[i].slots = 4;
      sketch.tasks[i].after.clear();
    }
  }
  if (neverSucceeds && !sketch.steps.empty()) {
    sketch.steps.front().fails = true;
    sketch.steps.front().standing = false;
    sketch.times = 0;
  } else if (neverSucceeds)
    sketch.tasks.front().fails = true;
  return enter(sketch);
}

std::string World::enter(const JobSketch& sketch) {
  judge.submitted(sketch);
  submittedUs[sketch.id] = sim.nowUs();
  if (std::any_of(sketch.steps.begin(), sketch.steps.end(), [](const auto& step) { return step.standing; }))
    sim.at(std::max(sim.nowUs() + 2 * kSecond, endUs - 2 * kSecond), [this, id = sketch.id] { endStanding(id); });
  return jobBody(sketch, sim.wallMs());
}

void World::endStanding(const std::string& id) {
  const auto& job = judge.jobs.at(id);
  if (job.rejected || job.turnedAway || !job.shown.empty()) return;
  if (job.acceptedMs >= 0) return cancel(id);
  sim.after(kSecond / 5, [this, id] { endStanding(id); });
}

void World::badJob() {
  const auto id = "bad-" + std::to_string(++nextJob);
  const auto drawn = sim.below(3);
  const auto kind = plan.fleet.sizedPool ? drawn : 0;
  const bool wide = kind == 2;
  JobSketch sketch{id, kind == 0 ? "no-such-line" : "gate", wide, 0, {}};
  const auto& fleet = plan.fleet;
  const auto slots = wide && !fleet.capacity.empty() ? fleet.slots : 1;
  const auto count = !wide ? 2 : fleet.capacity.empty() ? 99 : fleet.workers + 1;
  for (int i = 0; i < count; ++i) {
    sketch.tasks.push_back({"t" + std::to_string(i), slots, {}, 100, false, 0});
    if (kind == 1) sketch.tasks.back().slots = 1000;
  }
  auto body = enter(sketch);
  judge.jobs.at(id).mustBeRejected = true;
  submit(id, std::move(body));
}

void World::newJob(const LineLoad& load, bool neverSucceeds, bool huge) {
  const auto id = load.line + "-" + std::to_string(++nextJob);
  auto body = makeJob(load, id, neverSucceeds, huge);
  if (neverSucceeds || huge) {
  } else if (sim.chance(0.04)) {
    sim.after(100000 + sim.below(900000), [this, id] { cancel(id); });
  } else if (sim.chance(0.03)) {
    sim.after(sim.below(2 * kSecond), [this, id, body] { submit(id, body); });
  } else if (load.perJob > 0 && sim.chance(0.05)) {
    return submitImpatient(id, std::move(body), 2, false);
  }
  submit(id, std::move(body));
}

void World::submitImpatient(std::string id, std::string body, int tries, bool unclear) {
  ++result.submitTries;
  Ask ask;
  ask.method = "POST";
  ask.path = "/jobs";
  ask.body = body;
  callForJob(std::move(ask), [this, id, body, tries, unclear](const Reply& reply) {
    Json said = parseJson(reply.body);
    const bool notTaken = !reply.lost && reply.status >= 500 && notTakenBy(textAt(said.get(), "error"));
    if (!notTaken && !reply.lost && reply.status < 500) return submit(id, body);
    if (unclear || !notTaken || tries > 1)
      return sim.after((reply.retryMs > 0 ? reply.retryMs : 100) * 1000 + sim.below(50000),
                       [this, id, body, tries, unclear = unclear || !notTaken] {
                         if (unclear)
                           submit(id, body);
                         else
                           submitImpatient(id, body, tries - 1, false);
                       });
    judge.turnedAway(id);
  });
}

void World::arrivals(const LineLoad& load) {
  const auto gap = static_cast<Micros>(gapSeconds(load, plan.loadFactor, [this] { return sim.unit(); }) * kSecond);
  sim.after(gap, [this, load] {
    if (sim.nowUs() >= endUs) return;
    newJob(load);
    if (sim.chance(0.02)) badJob();
    arrivals(load);
  });
}

std::string World::baseConfig() const {
  if (!plan.fleet.capacity.empty()) return stepConfig(plan);
  return R"({"pendings":{"checkout":{"rank":10,"failureLimit":3,"backoffMs":100},"gate":{"rank":5,"failureLimit":3,"backoffMs":150},)"
         R"("rebuild":{"rank":0,"failureLimit":4,"backoffMs":200},"probe":{"rank":20}},"pools":{"side":{"slots":)" +
         std::to_string(plan.fleet.slots) + R"(,"workers":)" + std::to_string(plan.fleet.workers) + R"(,"selfStop":)" +
         (plan.fleet.selfStop ? "true" : "false") +
         R"(}},"cells":{"a":{"emptied":false},"b":{"emptied":false},"c":{"emptied":false}},)"
         R"("admission":{"rule":")" +
         plan.rule + R"(","lanes":2,"thresholdsMs":[4000],"promoteKnob":4,"reserveAfterMs":2000,"gangStartMs":3000}})";
}

std::string World::firstConfig() const {
  Json config = parseJson(baseConfig());
  json_t* lines = json_object_get(config.get(), "pendings");
  for (const auto& arrival : plan.arrivals)
    if (!json_object_get(lines, arrival.job.line.c_str()))
      json_object_set_new(lines, arrival.job.line.c_str(), json_object());
  if (Json patch = parseJson(plan.configPatch)) config = config::mergePatch(config.get(), patch.get());
  return dumpJson(config.get());
}

void World::changeConfig(const std::string& method, std::string body, std::string mark, std::string name,
                         std::string query, std::function<void(bool)> done, int tries) {
  if (tries == 0) judge.configProposed(mark);
  // A change that rests on a revision may be refused, or its outcome may no longer be known: no answer is owed.
  if (!query.empty()) judge.configGivenUp(mark);
  Ask ask;
  ask.method = method;
  ask.path = "/configuration";
  ask.query = query;
  ask.body = body;
  ask.requestName = name;
  call(ask, [=, this, sent = ask](const Reply& reply) {
    if (plan.trace)
      *plan.trace << sim.nowUs() << " operator's " << mark << " got "
                  << (reply.lost ? "no answer" : std::to_string(reply.status) + " " + reply.body) << "\n";
    if (!reply.lost && reply.status == 200) {
      Json root = parseJson(reply.body);
      judge.configConfirmed(mark, static_cast<Version>(numberAt(root.get(), "revision")));
      if (!name.empty()) resendOnce(mark, sent);
      if (done) done(true);
      return;
    }
    if (!reply.lost && reply.status >= 400 && reply.status < 500) {
      if (name == "t-base")
        judge.broken.push_back({sim.nowMs(), "chart", "the day's first configuration is denied: " + reply.body});
      judge.configRejected(mark);
      if (done) done(false);
      return;
    }
    if (tries > 60 || name.empty()) return judge.configGivenUp(mark);
    sim.after((reply.retryMs > 0 ? reply.retryMs : 100) * 1000,
              [=, this] { changeConfig(method, body, mark, name, query, done, tries + 1); });
  });
}

void World::resendOnce(const std::string& mark, const Ask& ask) {
  if (!sim.chance(kResendShare)) return;
  sim.after(sim.below(kResendWithinUs), [this, mark, ask] {
    if (!judge.isLastChange(mark)) return;
    call(ask, [this, mark](const Reply& reply) {
      if (!reply.lost) judge.configResent(mark, reply.status);
    });
  });
}

void World::changeByNumber(Version number, Version basedOn, const std::string& mark, std::function<void()> done) {
  judge.configProposed(mark);
  const auto ask = numberedChange(number, basedOn, "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}");
  const auto send = [=, this](auto again, const Host* failed) -> void {
    auto& host = anyHost(failed);
    callAt(host, ask, [=, this, &host](const Reply& reply) {
      if (!reply.lost && reply.status == 200) {
        judge.configConfirmed(mark, 0);
        judge.numberConfirmed(number, mark);
        newestNumber = std::max(newestNumber, number);
        resendOnce(mark, ask);
        return done();
      }
      if (!reply.lost && reply.status < 500) {
        judge.configRejected(mark);
        return done();
      }
      sim.after(kSecond / 10, [again, &host] { again(again, &host); });
    });
  };
  send(send, nullptr);
}

void World::markOnce(bool whole, const std::string& query) {
  const auto mark = "mark-" + std::to_string(++nextMark);
  std::string body = "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}";
  if (whole) {
    Json base = parseJson(baseConfig());
    Json patch = parseJson(body);
    body = dumpJson(config::mergePatch(base.get(), patch.get()).get());
  }
  if (whole) judge.wholeConfig(true);
  changeConfig(whole ? "PUT" : "PATCH", body, mark, "t-" + mark, query, [this, whole](bool) {
    if (whole) judge.wholeConfig(false);
  });
}

void World::invalidOnce() {
  const auto mark = "mark-" + std::to_string(++nextMark);
  changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{\"failureLimit\":0}}}", mark, "t-" + mark, "", {});
}

void World::conditionalOnce(bool named) {
  const auto mark = "mark-" + std::to_string(++nextMark);
  changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}", mark, named ? "t-" + mark : "",
               "expected=" + std::to_string(judge.newestConfirmed()), {});
}

void World::marks(Micros everyUs) {
  if (sim.nowUs() >= endUs) return;
  const auto dice = sim.below(10);
  if (dice == 0)
    invalidOnce();
  else if (dice == 1)
    markOnce(false, "expected=" + std::to_string(sim.below(6)));
  else if (dice < 5)
    conditionalOnce(dice == 2);
  else
    markOnce(false);
  sim.after(everyUs / 2 + sim.below(everyUs), [this, everyUs] { marks(everyUs); });
}

void World::readConfigs() {
  if (sim.nowUs() >= endUs) return;
  Ask ask;
  ask.method = "GET";
  ask.path = "/configuration";
  const auto askedMs = sim.nowMs();
  call(std::move(ask), [this, askedMs](const Reply& reply) {
    if (!reply.lost && reply.status == 200) readConfig(reply.body, askedMs, false);
  });
  sim.after(150000 + sim.below(100000), [this] { readConfigs(); });
}

void World::readConfig(const std::string& body, Millis askedMs, bool final) {
  Json root = parseJson(body);
  const auto version = static_cast<Version>(numberAt(root.get(), "revision"));
  if (version) judge.configRead(version, dumpJson(json_object_get(root.get(), "configuration")), askedMs, final);
}

void World::weigh() {
  if (sim.nowUs() >= endUs) return;
  for (const auto& host : sim.all()) {
    if (!host->node || host->settings.role == Role::agent) continue;
    const auto bytes = footprintOf(*host->node);
    if (bytes <= result.peakBytes) continue;
    result.peakBytes = bytes;
    result.peakAt = host->name + " at " + std::to_string(sim.nowMs()) + " ms";
  }
  sim.after(kSecond, [this] { weigh(); });
}

void World::sweeps() {
  judge.sweep();
  if (sim.leader()) {
    if (leaderLostMs >= 0) result.leaderGapMs = std::max(result.leaderGapMs, sim.nowMs() - leaderLostMs);
    leaderLostMs = -1;
  } else if (leaderLostMs < 0 && sim.nowUs() > 3 * kSecond) {
    leaderLostMs = sim.nowMs();
  }
  sim.after(100000, [this] { sweeps(); });
}

void World::setFlag(const std::string& group, const std::string& name, const std::string& flag, bool on,
                    std::function<void(bool)> done) {
  const auto mark = "mark-" + std::to_string(++nextMark);
  changeConfig("PATCH",
               "{\"pendings\":{\"" + mark + "\":{}},\"" + group + "\":{\"" + name + "\":{\"" + flag +
                   "\":" + (on ? "true" : "false") + "}}}",
               mark, "t-" + mark, "", std::move(done));
}

void World::setZone(const std::string& zone, bool emptied, std::function<void()> then) {
  if (!emptied) judge.zoneEmptied(zone, false, false);
  setFlag("cells", zone, "emptied", emptied, [=, this](bool done) {
    if (done && emptied) judge.zoneEmptied(zone, true, true);
    if (then) then();
  });
}

void World::setDrain(const std::string& worker, bool drained, std::function<void()> then) {
  if (!drained) judge.drained(worker, false, false);
  setFlag("workers", worker, "drained", drained, [=, this](bool done) {
    if (done && drained) judge.drained(worker, true, true);
    if (then) then();
  });
}

Host& World::pick(Role role) {
  auto all = sim.hosts(role);
  std::erase_if(all, [&](Host* host) { return retired.contains(host->name) || host->isDiskless(); });
  return *all[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(all.size())))];
}
SimWorker& World::pickWorker() {
  return *sim.simWorkers()[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(sim.simWorkers().size())))];
}

void World::crashFor(Host& host, Micros spanUs) {
  sim.crash(host);
  sim.after(spanUs, [this, &host] {
    if (!retired.contains(host.name)) sim.start(host);
  });
}

void World::powerLossFor(Host& host, Micros spanUs) {
  sim.losePower(host);
  sim.after(spanUs, [this, &host] {
    if (!retired.contains(host.name)) sim.start(host);
  });
}

void World::loseCore(bool power) {
  for (const auto& host : sim.all()) {
    if (host->settings.role == Role::agent) continue;
    const auto backAfterUs = kSecond / 5 + sim.below(3 * kSecond / 2);
    power ? powerLossFor(*host, backAfterUs) : crashFor(*host, backAfterUs);
  }
}

void World::whenAffordable(std::function<void()> act) {
  const auto replicas = sim.hosts(Role::replica);
  const auto lost = std::count_if(replicas.begin(), replicas.end(),
                                  [this](const Host* host) { return !host->isDiskless() && sim.isLost(*host); });
  if (lost < plan.fleet.losses) return act();
  if (sim.nowUs() < quietUs) sim.after(kSecond / 10, [this, act = std::move(act)] { whenAffordable(act); });
}

std::string World::successorName(const Host& old) const {
  auto name = old.machine + "x";
  while (sim.knowsMachine(name)) name += "x";
  return name;
}

Host& World::addSuccessor(const Host& old) {
  const auto name = successorName(old);
  const auto& zone = old.settings.zone.value;
  return plan.fleet.sharedMachines ? sim.addSharedMachine(name, zone, true) : sim.addHost(Role::replica, name, zone);
}

void World::replacePlanned(Host& old) {
  auto& fresh = addSuccessor(old);
  sim.start(fresh);
  sim.after(kSecond + sim.below(5 * kSecond), [this, &old] {
    if (retired.contains(old.name)) return;
    retire(old);
    sim.stopPolitely(old);
    sim.after(kSecond, [this, &old] { sim.crash(old); });
  });
}

void World::replaceReplica(Host& old, bool sameAddress) {
  sim.crash(old);
  if (sameAddress) {
    sim.loseDisk(old);
    sim.after(300000 + sim.below(kSecond), [this, &old] { sim.start(old); });
    return;
  }
  retire(old);
  auto& fresh = addSuccessor(old);
  sim.after(300000 + sim.below(kSecond), [this, &fresh] { sim.start(fresh); });
}

bool World::membershipWhole() {
  std::map<DaemonId, Host*> byId;
  transport::Membership newest;
  for (auto* replica : sim.hosts(Role::replica)) {
    if (!replica->up) continue;
    byId[replica->id] = replica;
    if (newest.version < replica->disk.membership.version) newest = replica->disk.membership;
  }
  return newest.version > 0 && std::all_of(newest.voters.begin(), newest.voters.end(), [&](const auto& voter) {
           auto found = byId.find(voter.id);
           return found != byId.end() && !deadDisks.contains(found->second->name) && found->second->disk.voting &&
                  found->second->disk.membership == newest;
         });
}

void World::whenWhole(std::function<void()> act) {
  awaitsWhole = true;
  if (membershipWhole()) {
    awaitsWhole = false;
    return act();
  }
  if (sim.nowUs() < endUs + 60 * kSecond) sim.after(kSecond / 4, [this, act = std::move(act)] { whenWhole(act); });
}

void World::retire(Host& host) {
  for (auto* node : sim.nodesBeside(host)) {
    retired.insert(node->name);
    node->gone = true;
  }
}

void World::takeSoon(SimWorker& simWorker, Millis inMs) {
  simWorker.worker.leaving = true;
  simWorker.worker.leavesAtMs = sim.clockOf(simWorker) + inMs;
  const int life = simWorker.lives;
  sim.workerTrouble();
  sim.after(inMs * 1000, [this, &simWorker, life] {
    if (simWorker.lives == life && simWorker.worker.leaving) sim.crashWorker(simWorker);
  });
}

const LineLoad& World::queueOf(const std::string& name) const {
  const auto found =
      std::find_if(plan.load.begin(), plan.load.end(), [&](const auto& line) { return line.line == name; });
  static const auto usual = builtInLoad("leatherwood");
  if (found != plan.load.end()) return *found;
  return *std::find_if(usual.begin(), usual.end(), [&](const auto& line) { return line.line == name; });
}

void World::healAll() {
  sim.heal();
  ackLoss = 0;
  sim.plan.network = plan.fleet.network;
  for (const auto& host : sim.all()) {
    host->syncUs = 800;
    if (!deadDisks.contains(host->name)) host->diskBlocked = false;
    if (!host->up && !retired.contains(host->name)) sim.start(*host);
  }
  for (const auto& simWorker : sim.simWorkers()) {
    simWorker->cut = false;
    auto& traits = simWorker->worker.traits;
    if (simWorker->worker.leaving || traits.failEvery || traits.slowFactor > 1 || traits.failShare > 0 ||
        traits.standsStill || traits.mute)
      sim.workerTrouble();
    simWorker->worker.leaving = false;
    simWorker->worker.leavesAtMs = -1;
    traits.failEvery = 0;
    traits.slowFactor = 1;
    traits.failShare = 0;
    traits.standsStill = traits.mute = false;
    if (!simWorker->up && !simWorker->gone) sim.startWorker(*simWorker);
  }
}

}  // namespace tulip::simulator
