#include "drydock/day.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace tulip::drydock {

namespace {

using signal::Ask;

constexpr Micros kSecond = 1000000;

struct Run {
  DayPlan plan;
  Sim sim;
  Judge judge;
  DayResult result;
  Micros fromUs = 4 * kSecond;
  Micros quietUs = 0;
  Micros endUs = 0;
  std::int64_t nextJob = 0, nextMark = 0;
  std::map<std::string, Micros> submittedUs;
  std::set<std::string> retired, deadDisks;
  Millis leaderLostMs = -1;

  explicit Run(const DayPlan& given) : plan(given), sim(given.seed, given.fleet), judge(sim) {
    endUs = static_cast<Micros>(plan.seconds * kSecond);
    quietUs = endUs * 3 / 4;
  }

  Host& anyHost() {
    const auto& all = sim.all();
    while (true) {
      auto& host = *all[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(all.size())))];
      if (!retired.contains(host.name)) return host;
    }
  }

  Micros faultTime() { return fromUs + sim.below(std::max<Micros>(1, quietUs - fromUs - kSecond)); }

  void call(Ask ask, std::function<void(Reply)> done) {
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, done = std::move(done)](Reply reply) {
      if (*answered) return;
      *answered = true;
      done(std::move(reply));
    };
    sim.ask(anyHost(), std::move(ask), once);
    sim.after(4 * kSecond, [once] { once({true, 0, 0, {}}); });
  }

  void submit(std::string id, std::string body) {
    ++result.submitTries;
    Ask ask;
    ask.method = "POST";
    ask.path = "/jobs";
    ask.body = body;
    call(std::move(ask), [this, id, body, askedMs = sim.nowMs()](Reply reply) {
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
      if (!reply.lost && reply.status < 500) return judge.denied(id, reply.status);
      sim.after((reply.retryMs > 0 ? reply.retryMs : 100) * 1000 + sim.below(50000), [this, id, body] { submit(id, body); });
    });
  }

  void poll(const std::string& id) {
    Ask ask;
    ask.method = "GET";
    ask.path = "/jobs/" + id;
    call(std::move(ask), [this, id, askedMs = sim.nowMs()](Reply reply) {
      if (!reply.lost) {
        Json view = parseJson(reply.body);
        judge.shown(id, reply.status, view.get(), askedMs);
        auto& job = judge.jobs.at(id);
        if (!job.shown.empty()) return;
      }
      sim.after(250000 + sim.below(250000), [this, id] { poll(id); });
    });
  }

  void submitThen(const LineLoad& load, std::function<void(const std::string&)> then) {
    const auto id = "yes-" + std::to_string(++nextJob);
    auto body = makeJob(load, id, false, false);
    Ask ask;
    ask.method = "POST";
    ask.path = "/jobs";
    ask.body = body;
    call(std::move(ask), [this, id, body, then = std::move(then)](Reply reply) {
      if (reply.lost || reply.status != 201) return submit(id, body);
      judge.accepted(id);
      ++result.accepted;
      poll(id);
      then(id);
    });
  }

  void cancel(const std::string& id, std::function<void()> then = {}) {
    judge.jobs.at(id).cancelAskedMs = sim.nowMs();
    Ask ask;
    ask.method = "DELETE";
    ask.path = "/jobs/" + id;
    call(std::move(ask), [this, id, then = std::move(then)](Reply reply) {
      if (!reply.lost && reply.status == 200) {
        judge.cancelled(id);
        if (then) then();
        return;
      }
      if (!reply.lost && reply.status < 500) return;
      sim.after(150000, [this, id, then] { cancel(id, then); });
    });
  }

  std::string makeJob(const LineLoad& load, const std::string& id, bool neverSucceeds, bool huge) {
    auto sketch = sketchJob(load, id, [this] { return sim.unit(); });
    if (huge) {
      sketch.gang = true;
      sketch.tasks.resize(6);
      for (std::size_t i = 0; i < sketch.tasks.size(); ++i) {
        sketch.tasks[i].name = "t" + std::to_string(i);
        sketch.tasks[i].slots = 4;
        sketch.tasks[i].after.clear();
      }
    }
    if (neverSucceeds) sketch.tasks.front().fails = true;
    return enter(sketch);
  }

  std::string enter(const JobSketch& sketch) {
    auto& truth = judge.submitted(sketch.id);
    submittedUs[sketch.id] = sim.nowUs();
    truth.line = sketch.line;
    truth.neverSucceeds = std::any_of(sketch.tasks.begin(), sketch.tasks.end(), [](const auto& task) { return task.fails; });
    truth.gang = sketch.gang;
    truth.notBeforeMs = sketch.notBeforeMs;
    for (const auto& task : sketch.tasks) {
      truth.names.push_back(task.name);
      truth.tasks.emplace_back();
      truth.tasks.back().slots = task.slots;
      truth.tasks.back().after = task.after;
    }
    return jobBody(sketch);
  }

  void badJob() {
    const auto id = "bad-" + std::to_string(++nextJob);
    const auto kind = sim.below(3);
    JobSketch sketch{id, kind == 0 ? "no-such-line" : "gate", kind == 2, 0, {}};
    for (std::size_t i = 0; i < (kind == 2 ? 99u : 2u); ++i) {
      sketch.tasks.push_back({"t" + std::to_string(i), 1, {}, 100, false, 0});
      if (kind == 1) sketch.tasks.back().slots = 1000;
    }
    auto body = enter(sketch);
    judge.jobs.at(id).mustBeDenied = true;
    submit(id, std::move(body));
  }

  void newJob(const LineLoad& load, bool neverSucceeds = false, bool huge = false) {
    const auto id = load.line + "-" + std::to_string(++nextJob);
    auto body = makeJob(load, id, neverSucceeds, huge);
    if (neverSucceeds || huge) {
    } else if (sim.chance(0.04)) {
      sim.after(100000 + sim.below(900000), [this, id] { cancel(id); });
    } else if (sim.chance(0.03)) {
      sim.after(sim.below(2 * kSecond), [this, id, body] { submit(id, body); });
    }
    submit(id, std::move(body));
  }

  void arrivals(const LineLoad& load) {
    const auto gap = static_cast<Micros>(gapSeconds(load, plan.loadFactor, [this] { return sim.unit(); }) * kSecond);
    sim.after(gap, [this, load] {
      if (sim.nowUs() >= endUs) return;
      newJob(load);
      if (sim.chance(0.02)) badJob();
      arrivals(load);
    });
  }

  std::string baseChart() const {
    return R"({"pendings":{"checkout":{"rank":10,"failureLimit":3,"backoffMs":100},"gate":{"rank":5,"failureLimit":3,"backoffMs":150},)"
           R"("rebuild":{"rank":0,"failureLimit":4,"backoffMs":200},"probe":{"rank":20}},"pools":{"side":{"slots":)" +
           std::to_string(plan.fleet.slots) + R"(,"workers":)" + std::to_string(plan.fleet.workers) + R"(,"selfStop":)" +
           (plan.fleet.selfStop ? "true" : "false") + R"(}},"cells":{"a":{"emptied":false},"b":{"emptied":false},"c":{"emptied":false}},)"
           R"("admission":{"rule":")" + plan.rule + R"(","lanes":2,"thresholdsMs":[4000],"promoteKnob":4,"reserveAfterMs":2000,"gangStartMs":3000}})";
  }

  std::string firstChart() const {
    Json chart = parseJson(baseChart());
    json_t* lines = json_object_get(chart.get(), "pendings");
    for (const auto& arrival : plan.arrivals)
      if (!json_object_get(lines, arrival.job.line.c_str())) json_object_set_new(lines, arrival.job.line.c_str(), json_object());
    if (Json patch = parseJson(plan.chartPatch)) chart = chart::mergePatch(chart.get(), patch.get());
    return dumpJson(chart.get());
  }

  void changeChart(const std::string& method, std::string body, std::string mark, std::string name, std::string query,
                   std::function<void(bool)> done, int tries = 0) {
    if (tries == 0) judge.chartProposed(mark);
    Ask ask;
    ask.method = method;
    ask.path = "/configuration";
    ask.query = query;
    ask.body = body;
    ask.transactionName = name;
    call(std::move(ask), [=, this](Reply reply) {
      if (!reply.lost && reply.status == 200) {
        Json root = parseJson(reply.body);
        judge.chartConfirmed(mark, static_cast<Revision>(numberAt(root.get(), "revision")));
        if (done) done(true);
        return;
      }
      if (!reply.lost && reply.status >= 400 && reply.status < 500) {
        judge.chartDenied(mark);
        if (done) done(false);
        return;
      }
      if (tries > 60 || name.empty()) return;
      sim.after((reply.retryMs > 0 ? reply.retryMs : 100) * 1000, [=, this] { changeChart(method, body, mark, name, query, done, tries + 1); });
    });
  }

  void markOnce(bool whole, const std::string& query = {}) {
    const auto mark = "mark-" + std::to_string(++nextMark);
    std::string body = "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}";
    if (whole) {
      Json base = parseJson(baseChart());
      Json patch = parseJson(body);
      body = dumpJson(chart::mergePatch(base.get(), patch.get()).get());
    }
    if (whole) judge.wholeChart(true);
    changeChart(whole ? "PUT" : "PATCH", body, mark, "t-" + mark, query, [this, whole](bool) {
      if (whole) judge.wholeChart(false);
    });
  }

  void invalidOnce() {
    const auto mark = "mark-" + std::to_string(++nextMark);
    changeChart("PATCH", "{\"pendings\":{\"" + mark + "\":{\"failureLimit\":0}}}", mark, "t-" + mark, "", {});
  }

  void conditionalOnce(bool named) {
    const auto mark = "mark-" + std::to_string(++nextMark);
    changeChart("PATCH", "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}", mark, named ? "t-" + mark : "",
                "expected=" + std::to_string(judge.newestConfirmed()), {});
  }

  void marks(Micros everyUs) {
    if (sim.nowUs() >= endUs) return;
    const auto dice = sim.below(10);
    if (dice == 0) invalidOnce();
    else if (dice == 1) markOnce(false, "expected=" + std::to_string(sim.below(6)));
    else if (dice < 5) conditionalOnce(dice == 2);
    else markOnce(false);
    sim.after(everyUs / 2 + sim.below(everyUs), [this, everyUs] { marks(everyUs); });
  }

  void readCharts() {
    if (sim.nowUs() >= endUs) return;
    Ask ask;
    ask.method = "GET";
    ask.path = "/configuration";
    const auto askedMs = sim.nowMs();
    call(std::move(ask), [this, askedMs](Reply reply) {
      if (!reply.lost && reply.status == 200) readChart(reply.body, askedMs, false);
    });
    sim.after(150000 + sim.below(100000), [this] { readCharts(); });
  }

  void readChart(const std::string& body, Millis askedMs, bool final) {
    Json root = parseJson(body);
    const auto revision = static_cast<Revision>(numberAt(root.get(), "revision"));
    if (revision) judge.chartRead(revision, dumpJson(json_object_get(root.get(), "configuration")), askedMs, final);
  }

  void sweeps() {
    judge.sweep();
    if (sim.leader()) {
      if (leaderLostMs >= 0) result.leaderGapMs = std::max(result.leaderGapMs, sim.nowMs() - leaderLostMs);
      leaderLostMs = -1;
    } else if (leaderLostMs < 0 && sim.nowUs() > 3 * kSecond) {
      leaderLostMs = sim.nowMs();
    }
    sim.after(100000, [this] { sweeps(); });
  }

  void setFlag(const std::string& group, const std::string& name, const std::string& flag, bool on, std::function<void(bool)> done) {
    const auto mark = "mark-" + std::to_string(++nextMark);
    changeChart("PATCH",
                "{\"pendings\":{\"" + mark + "\":{}},\"" + group + "\":{\"" + name + "\":{\"" + flag + "\":" + (on ? "true" : "false") + "}}}", mark,
                "t-" + mark, "", std::move(done));
  }

  void setCell(const std::string& cell, bool emptied, std::function<void()> then) {
    if (!emptied) judge.cellEmptied(cell, false, false);
    setFlag("cells", cell, "emptied", emptied, [=, this](bool done) {
      if (done && emptied) judge.cellEmptied(cell, true, true);
      if (then) then();
    });
  }

  void setDrain(const std::string& worker, bool drained, std::function<void()> then) {
    if (!drained) judge.drained(worker, false, false);
    setFlag("workers", worker, "drained", drained, [=, this](bool done) {
      if (done && drained) judge.drained(worker, true, true);
      if (then) then();
    });
  }

  Host& pick(Role role) {
    auto all = sim.hosts(role);
    std::erase_if(all, [&](Host* host) { return retired.contains(host->name); });
    return *all[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(all.size())))];
  }
  drydock::Hand& pickHand() { return *sim.hands()[static_cast<std::size_t>(sim.below(static_cast<std::int64_t>(sim.hands().size())))]; }

  void crashFor(Host& host, Micros spanUs) {
    sim.crash(host);
    sim.after(spanUs, [this, &host] {
      if (!retired.contains(host.name)) sim.start(host);
    });
  }

  void replaceQuay(Host& old, bool sameAddress) {
    sim.crash(old);
    if (sameAddress) {
      sim.loseDisk(old);
      sim.after(300000 + sim.below(kSecond), [this, &old] { sim.start(old); });
      return;
    }
    retired.insert(old.name);
    auto& fresh = sim.addHost(Role::quay, old.name + "x", old.env.cell.value);
    sim.after(300000 + sim.below(kSecond), [this, &fresh] { sim.start(fresh); });
  }

  bool cohortWhole() {
    std::map<DaemonId, Host*> byId;
    signal::Cohort newest;
    for (auto* quay : sim.hosts(Role::quay)) {
      if (!quay->up) continue;
      byId[quay->id] = quay;
      if (newest.revision < quay->disk.cohort.revision) newest = quay->disk.cohort;
    }
    return newest.revision > 0 && std::all_of(newest.seats.begin(), newest.seats.end(), [&](const auto& seat) {
             auto found = byId.find(seat.id);
             return found != byId.end() && found->second->disk.voting && found->second->disk.cohort == newest;
           });
  }

  void whenWhole(std::function<void()> act) {
    if (cohortWhole()) return act();
    if (sim.nowUs() < endUs + 60 * kSecond) sim.after(kSecond / 4, [this, act = std::move(act)] { whenWhole(act); });
  }

  void healAll() {
    sim.heal();
    sim.plan.sea = plan.fleet.sea;
    for (const auto& host : sim.all()) {
      host->syncUs = 800;
      if (!deadDisks.contains(host->name)) host->diskFails = false;
      if (!host->up && !retired.contains(host->name)) sim.start(*host);
    }
    for (const auto& hand : sim.hands()) {
      hand->cut = false;
      hand->worker.leaving = false;
      hand->worker.traits.failEvery = 0;
      hand->worker.traits.slowFactor = 1;
      if (!hand->up) sim.startWorker(*hand);
    }
  }
};

using Fault = void (*)(Run&);

const std::map<std::string, Fault>& faults() {
  static const std::map<std::string, Fault> all{
      {"leader-kill", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond + run.sim.below(3 * kSecond));
         });
       }},
      {"leader-freeze", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           if (auto* leader = run.sim.leader()) run.sim.freeze(*leader, kSecond / 2 + run.sim.below(5 * kSecond));
         });
       }},
      {"leader-kill-after-yes", [](Run& run) {
         for (int i = 0; i < 2; ++i)
           run.sim.at(run.faultTime(), [&run] {
             run.submitThen(LineLoad{"checkout"}, [&run](const std::string&) {
               if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond);
               run.crashFor(run.pick(Role::quay), kSecond);
             });
           });
       }},
      {"leader-polite-stop", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           if (auto* leader = run.sim.leader()) {
             run.sim.stopPolitely(*leader);
             run.sim.after(2 * kSecond, [&run, leader] {
               if (!run.retired.contains(leader->name)) run.sim.start(*leader);
             });
           }
         });
       }},
      {"quay-kill", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] { run.crashFor(run.pick(Role::quay), kSecond / 2 + run.sim.below(3 * kSecond)); });
       }},
      {"quay-freeze", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] { run.sim.freeze(run.pick(Role::quay), kSecond / 2 + run.sim.below(4 * kSecond)); });
       }},
      {"quay-disk-lost", [](Run& run) { run.sim.at(run.faultTime(), [&run] { run.replaceQuay(run.pick(Role::quay), true); }); }},
      {"quay-replaced-elsewhere", [](Run& run) { run.sim.at(run.faultTime(), [&run] { run.replaceQuay(run.pick(Role::quay), false); }); }},
      {"quays-replaced-twice", [](Run& run) {
         run.sim.at(run.fromUs, [&run] { run.replaceQuay(run.pick(Role::quay), false); });
         run.sim.at(run.fromUs + 14 * kSecond, [&run] { run.whenWhole([&run] { run.replaceQuay(run.pick(Role::quay), false); }); });
       }},
      {"pilot-exchanged", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           auto& old = run.pick(Role::pilot);
           run.sim.stopPolitely(old);
           run.sim.after(400000, [&run, &old] { run.sim.crash(old); });
           run.retired.insert(old.name);
           run.sim.start(run.sim.addHost(Role::pilot, old.name + "x", old.env.cell.value));
         });
       }},
      {"tender-kill", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] { run.crashFor(run.pick(Role::tender), kSecond / 4 + run.sim.below(4 * kSecond)); });
       }},
      {"tender-freeze", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] { run.sim.freeze(run.pick(Role::tender), kSecond / 4 + run.sim.below(5 * kSecond)); });
       }},
      {"worker-crash", [](Run& run) {
         for (int i = 0; i < 4; ++i)
           run.sim.at(run.faultTime(), [&run] {
             auto& hand = run.pickHand();
             run.sim.crashWorker(hand);
             run.sim.after(200000 + run.sim.below(2 * kSecond), [&run, &hand] { run.sim.startWorker(hand); });
           });
       }},
      {"worker-vanish", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           auto& hand = run.pickHand();
           run.sim.crashWorker(hand);
           run.sim.crash(*hand.tender);
           run.retired.insert(hand.tender->name);
           if (run.plan.fleet.selfStop) return;
           run.setFlag("workers", hand.worker.traits.name, "gone", true, {});
         });
       }},
      {"worker-slow", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] { run.pickHand().worker.traits.slowFactor = 8; });
       }},
      {"worker-fails", [](Run& run) {
         run.sim.at(run.fromUs, [&run] { run.pickHand().worker.traits.failEvery = 1; });
       }},
      {"worker-cut", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] {
             auto& hand = run.pickHand();
             hand.cut = true;
             run.sim.after(kSecond / 2 + run.sim.below(6 * kSecond), [&hand] { hand.cut = false; });
           });
       }},
      {"worker-freeze", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] { run.sim.freezeWorker(run.pickHand(), kSecond / 2 + run.sim.below(6 * kSecond)); });
       }},
      {"worker-leaves", [](Run& run) {
         for (int i = 0; i < 2; ++i)
           run.sim.at(run.faultTime(), [&run] {
             auto& hand = run.pickHand();
             hand.worker.leaving = true;
             run.sim.after(3 * kSecond, [&run, &hand] {
               run.sim.crashWorker(hand);
               run.sim.startWorker(hand);
             });
           });
       }},
      {"cut-off-alone", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           run.sim.cutOff(run.anyHost());
           if (auto* leader = run.sim.leader(); leader && run.sim.chance(0.5)) run.sim.cutOff(*leader);
           run.sim.after(kSecond + run.sim.below(5 * kSecond), [&run] { run.sim.heal(); });
         });
       }},
      {"one-way-cut", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           auto* leader = run.sim.leader();
           auto& one = leader ? *leader : run.anyHost();
           const bool outward = run.sim.chance(0.5);
           for (const auto& other : run.sim.all())
             if (other.get() != &one) outward ? run.sim.cut(one, *other) : run.sim.cut(*other, one);
           run.sim.after(kSecond + run.sim.below(5 * kSecond), [&run] { run.sim.heal(); });
         });
       }},
      {"split", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           for (const auto& x : run.sim.all())
             for (const auto& y : run.sim.all())
               if ((x->env.cell.value == "a") != (y->env.cell.value == "a")) run.sim.cut(*x, *y);
           run.sim.after(kSecond + run.sim.below(6 * kSecond), [&run] { run.sim.heal(); });
         });
       }},
      {"cell-lost", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           const auto cell = std::string(1, static_cast<char>('a' + run.sim.below(3)));
           for (const auto& host : run.sim.all())
             if (host->env.cell.value == cell) run.sim.crash(*host);
           for (const auto& hand : run.sim.hands())
             if (hand->tender->env.cell.value == cell) run.sim.crashWorker(*hand);
         });
       }},
      {"slow-disk", [](Run& run) { run.sim.at(run.faultTime(), [&run] { run.pick(Role::quay).syncUs = 400000; }); }},
      {"disk-dies-quay-lives", [](Run& run) {
         run.sim.at(run.fromUs, [&run] {
           auto& old = run.pick(Role::quay);
           old.diskFails = true;
           run.deadDisks.insert(old.name);
           run.sim.start(run.sim.addHost(Role::quay, old.name + "x", old.env.cell.value));
           run.sim.after(14 * kSecond, [&run, &old] {
             for (auto* quay : run.sim.hosts(Role::quay)) {
               if (quay == &old || quay->name == old.name + "x") continue;
               run.retired.insert(quay->name);
               return run.sim.crash(*quay);
             }
           });
         });
       }},
      {"full-disk", [](Run& run) { run.sim.at(run.faultTime(), [&run] { run.pick(Role::quay).diskFails = true; }); }},
      {"all-restart", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           for (const auto& host : run.sim.all()) run.crashFor(*host, 200000 + run.sim.below(kSecond));
           for (const auto& hand : run.sim.hands())
             if (run.sim.chance(0.5)) {
               auto& each = *hand;
               run.sim.crashWorker(each);
               run.sim.after(kSecond, [&run, &each] { run.sim.startWorker(each); });
             }
         });
       }},
      {"quays-power-lost", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           for (auto* quay : run.sim.hosts(Role::quay)) run.crashFor(*quay, 100000 + run.sim.below(kSecond));
         });
       }},
      {"lossy-sea", [](Run& run) {
         run.sim.at(run.fromUs, [&run] {
           run.sim.plan.sea.drop = 0.05;
           run.sim.plan.sea.twice = 0.05;
           run.sim.plan.sea.late = 0.1;
         });
       }},
      {"chart-race", [](Run& run) {
         for (int i = 0; i < 4; ++i)
           run.sim.at(run.faultTime(), [&run] {
             run.markOnce(false);
             run.markOnce(true);
             run.markOnce(false);
           });
       }},
      {"chart-storm", [](Run& run) {
         const auto when = run.faultTime();
         for (int i = 0; i < 40; ++i) run.sim.at(when + i * 50000, [&run] { run.markOnce(run.sim.chance(0.2)); });
       }},
      {"cell-emptied", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           const auto cell = std::string(1, static_cast<char>('a' + run.sim.below(3)));
           run.setCell(cell, true, [&run, cell] { run.sim.after(6 * kSecond, [&run, cell] { run.setCell(cell, false, {}); }); });
         });
       }},
      {"worker-drained", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           const auto name = run.pickHand().worker.traits.name;
           run.setDrain(name, true, [&run, name] { run.sim.after(4 * kSecond, [&run, name] { run.setDrain(name, false, {}); }); });
         });
       }},
      {"crowd", [](Run& run) {
         const auto when = run.faultTime();
         for (int i = 0; i < 120; ++i)
           run.sim.at(when + i * 2000, [&run] {
             const auto load = builtInLoad("leatherwood");
             run.newJob(load[static_cast<std::size_t>(run.sim.below(3))], run.sim.chance(0.1), run.sim.chance(0.05));
           });
       }},
      {"never-succeed", [](Run& run) {
         for (int i = 0; i < 8; ++i) run.sim.at(run.faultTime(), [&run] { run.newJob(LineLoad{"gate"}, true); });
       }},
      {"all-quays-emptied", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           for (auto* quay : run.sim.hosts(Role::quay)) run.replaceQuay(*quay, true);
         });
       }},
      {"two-quays-emptied", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           auto quays = run.sim.hosts(Role::quay);
           for (std::size_t i = 0; i < 2; ++i) run.replaceQuay(*quays[i], true);
         });
       }},
      {"power-lost-after-yes", [](Run& run) {
         for (int i = 0; i < 2; ++i)
           run.sim.at(run.faultTime(), [&run] {
             for (auto* quay : run.sim.hosts(Role::quay)) quay->syncUs = 15000;
             run.submitThen(LineLoad{"checkout"}, [&run](const std::string&) {
               for (auto* quay : run.sim.hosts(Role::quay)) run.crashFor(*quay, 100000 + run.sim.below(kSecond));
               if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond);
             });
           });
       }},
      {"leader-kill-after-cancel", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] {
             run.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 4000, 6000, 0, 1.0, 0}, [&run](const std::string& id) {
               run.cancel(id, [&run] {
                 if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond);
               });
             });
           });
       }},
      {"rule-swapped", [](Run& run) {
         const auto swap = [&run](auto again, int turn) -> void {
           static const char* const rules[] = {R"("rule":"fifo")", R"("rule":"gittins","lanes":3,"thresholdsMs":[2000,8000])",
                                               R"("rule":"las","lanes":2,"thresholdsMs":[4000])", R"("rule":"las","lanes":1,"thresholdsMs":[])"};
           if (run.sim.nowUs() >= run.quietUs) return;
           const auto mark = "mark-" + std::to_string(++run.nextMark);
           run.changeChart("PATCH", "{\"pendings\":{\"" + mark + "\":{}},\"admission\":{" + rules[turn % 4] + "}}", mark, "t-" + mark, "", {});
           run.sim.after(250000 + run.sim.below(kSecond / 2), [again, turn] { again(again, turn + 1); });
         };
         run.sim.at(run.fromUs, [swap] { swap(swap, 0); });
       }},
      {"quay-lags-then-emptied", [](Run& run) {
         run.sim.at(run.faultTime(), [&run] {
           auto* leader = run.sim.leader();
           if (!leader) return;
           auto quays = run.sim.hosts(Role::quay);
           const auto first = static_cast<std::size_t>(run.sim.below(3));
           auto &lags = *quays[first], &emptied = *quays[(first + 1) % 3];
           run.sim.cut(*leader, lags);
           run.sim.cut(lags, *leader);
           run.sim.after(kSecond / 2 + run.sim.below(kSecond), [&run, leader, &emptied] {
             run.crashFor(*leader, 2 * kSecond);
             run.replaceQuay(emptied, true);
             run.sim.heal();
           });
         });
       }},
      {"tender-cut-from-quays", [](Run& run) {
         for (int i = 0; i < 3; ++i)
           run.sim.at(run.faultTime(), [&run] {
             auto& tender = run.pick(Role::tender);
             for (auto* quay : run.sim.hosts(Role::quay)) {
               run.sim.cut(tender, *quay);
               run.sim.cut(*quay, tender);
             }
             run.sim.after(2 * kSecond + run.sim.below(5 * kSecond), [&run] { run.sim.heal(); });
           });
       }},
      {"resend-storm", [](Run& run) {
         for (int i = 0; i < 30; ++i)
           run.sim.at(run.faultTime(), [&run] {
             const auto id = "again-" + std::to_string(++run.nextJob);
             auto body = run.makeJob(LineLoad{"checkout", 1, 1, 3, 1, 2, 50, 900, 0.3, 0.3, 0}, id, false, false);
             for (int k = 0; k < 4; ++k) run.sim.after(k == 0 ? 0 : run.sim.below(4 * kSecond), [&run, id, body] { run.submit(id, body); });
           });
       }},
      {"far-off-jobs", [](Run& run) {
         for (int i = 0; i < 40; ++i)
           run.sim.at(run.fromUs + run.sim.below(run.quietUs - run.fromUs), [&run] {
             auto sketch = sketchJob(LineLoad{"checkout", 1, 1, 2, 1, 1, 50, 300, 0, 0, 0}, "far-" + std::to_string(++run.nextJob), [&run] { return run.sim.unit(); });
             sketch.notBeforeMs = 300 + run.sim.below(6000);
             const auto id = sketch.id;
             run.submit(id, run.enter(sketch));
           });
       }},
      {"quays-restart-behind-a-cut", [](Run& run) {
         run.sim.at(run.fromUs + run.sim.below(kSecond), [&run] {
           auto quays = run.sim.hosts(Role::quay);
           const auto alone = static_cast<std::size_t>(run.sim.below(3));
           run.sim.cutOff(*quays[alone]);
           for (std::size_t i = 0; i < 3; ++i)
             if (i != alone) run.crashFor(*quays[i], kSecond + run.sim.below(kSecond));
           run.sim.after(3 * kSecond + run.sim.below(2 * kSecond), [&run] {
             run.sim.heal();
             if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond);
           });
         });
       }},
      {"long-gangs", [](Run& run) {
         for (int i = 0; i < 5; ++i)
           run.sim.at(run.fromUs, [&run] {
             run.submitThen(LineLoad{"rebuild", 1, 3, 4, 2, 4, 15000, 19000, 1.0, 0, 0}, [](const std::string&) {});
           });
       }},
      {"cancel-storm", [](Run& run) {
         const auto when = run.faultTime();
         for (int i = 0; i < 40; ++i)
           run.sim.at(when + i * 40000, [&run] {
             run.submitThen(LineLoad{"checkout", 1, 1, 4, 1, 3, 500, 4000, 0.3, 0.3, 0}, [&run](const std::string& id) {
               run.sim.after(run.sim.below(600000), [&run, id] { run.cancel(id); });
             });
           });
       }},
      {"last-fault", [](Run& run) {
         run.sim.at(run.endUs - 1000, [&run] {
           if (auto* leader = run.sim.leader()) {
             run.retired.insert(leader->name);
             run.sim.crash(*leader);
           }
           auto& quay = run.pick(Role::quay);
           run.retired.insert(quay.name);
           run.sim.crash(quay);
         });
       }},
  };
  return all;
}

const std::map<std::string, Fault>& operations() {
  static const std::map<std::string, Fault> all{
      {"gang", [](Run& run) {
         run.submitThen(LineLoad{"rebuild", 1, 4, 4, 2, 4, 200, 500, 1.0, 0.5, 0}, [](const std::string&) {});
       }},
      {"cancel", [](Run& run) {
         run.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 1500, 2500, 0, 0.5, 0},
                        [&run](const std::string& id) { run.sim.after(100000, [&run, id] { run.cancel(id); }); });
       }},
      {"failing", [](Run& run) { run.newJob(LineLoad{"gate", 1, 2, 2, 1, 1, 50, 100, 0.5, 0, 0}, true); }},
      {"configuration", [](Run& run) {
         run.conditionalOnce(true);
         run.conditionalOnce(false);
         run.setCell("b", true, {});
         run.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 200, 500, 0, 0.5, 0}, [](const std::string&) {});
       }},
      {"takeover", [](Run& run) {
         run.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 500, 3500, 0.5, 0.5, 0}, [&run](const std::string&) {
           if (auto* leader = run.sim.leader()) run.crashFor(*leader, kSecond);
         });
       }},
      {"preemption", [](Run& run) {
         for (int i = 0; i < 3; ++i) run.newJob(LineLoad{"rebuild", 1, 4, 4, 8, 8, 5500, 6000, 0, 0, 0});
         run.sim.after(3 * kSecond / 2, [&run] {
           for (int i = 0; i < 6; ++i) run.newJob(LineLoad{"checkout", 1, 2, 2, 4, 4, 100, 300, 1.0, 0, 0});
         });
       }},
      {"cohort-change", [](Run& run) {
         run.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 500, 900, 0, 0.5, 0}, [](const std::string&) {});
         run.replaceQuay(run.pick(Role::quay), false);
         run.sim.after(11 * kSecond / 2, [&run] {
           run.sim.points.clear();
           for (int i = 0; i < 12; ++i) run.sim.after(i * 150000, [&run] { run.markOnce(false); });
         });
       }},
  };
  return all;
}

void strike(Run& run, Host& host) {
  run.result.placed = true;
  switch (run.plan.place->blow) {
    case Blow::crash: return run.crashFor(host, kSecond);
    case Blow::power:
      for (auto* quay : run.sim.hosts(Role::quay))
        if (quay != &host && !run.retired.contains(quay->name)) run.crashFor(*quay, kSecond / 2 + run.sim.below(kSecond));
      return run.crashFor(host, kSecond);
    case Blow::disk: return run.replaceQuay(host, true);
    case Blow::freeze: return run.sim.freeze(host, 4 * kSecond);
    case Blow::cut:
      run.sim.cutOff(host);
      return run.sim.after(4 * kSecond, [&run] { run.sim.heal(); });
  }
}

}  // namespace

std::vector<std::string> faultNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : faults()) names.push_back(name);
  return names;
}

void inThreads(int threads, std::size_t count, const std::function<void(std::size_t)>& act) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> crew;
  for (int i = 0; i < threads; ++i)
    crew.emplace_back([&] {
      for (std::size_t at = next++; at < count; at = next++) act(at);
    });
  for (auto& thread : crew) thread.join();
}

std::vector<std::string> operationNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : operations()) names.push_back(name);
  return names;
}

DayPlan operationDay(const std::string& operation, std::uint64_t seed) {
  DayPlan plan;
  plan.seed = seed;
  plan.operation = operation;
  plan.load.clear();
  plan.seconds = operation == "cohort-change" ? 24 : 12;
  plan.fleet.sea.mostUs = 400;
  return plan;
}

std::vector<std::string> drawFaults(std::uint64_t seed) {
  static const std::set<std::string> takesAQuay{"quay-disk-lost", "quay-replaced-elsewhere", "quays-replaced-twice",
                                                "last-fault",     "full-disk",               "cell-lost",           "quay-lags-then-emptied",
                                                "disk-dies-quay-lives"};
  auto names = faultNames();
  std::erase(names, "two-quays-emptied");
  std::erase(names, "all-quays-emptied");
  std::mt19937_64 random(seed * 7919);
  std::vector<std::string> drawn{names[random() % names.size()]};
  if (random() % 3 == 0) return drawn;
  auto second = names[random() % names.size()];
  while (takesAQuay.contains(drawn[0]) && takesAQuay.contains(second)) second = names[random() % names.size()];
  drawn.push_back(std::move(second));
  return drawn;
}

DayResult runDay(const DayPlan& plan) {
  Run run(plan);
  auto& sim = run.sim;
  run.judge.forgetsEnded = plan.forgetsEnded;
  run.judge.failureLimit = {{"checkout", 3}, {"gate", 3}, {"rebuild", 4}, {"probe", 3}};
  sim.onAlarm = [&](Host& host, const std::string& text) {
    constexpr std::size_t kMostAlarms = 200;
    if (run.result.alarms.size() < kMostAlarms)
      run.result.alarms.push_back(std::to_string(sim.nowMs()) + " " + host.name + ": " + text);
    if (text.find("invariant") != std::string::npos) run.judge.broken.push_back({sim.nowMs(), "inside", host.name + ": " + text});
  };
  if (plan.trace) sim.onMark = [&](std::string_view text) { *plan.trace << sim.nowUs() << " " << text << "\n"; };
  for (const auto& host : sim.all()) sim.at(sim.below(200000), [&sim, each = host.get()] { sim.start(*each); });
  for (const auto& hand : sim.hands()) sim.at(sim.below(400000), [&sim, each = hand.get()] { sim.startWorker(*each); });
  sim.at(kSecond, [&run] {
    run.changeChart("PUT", run.firstChart(), "checkout", "t-base", "", [&run](bool) {
      if (!run.plan.arrivals.empty()) {
        for (const auto& arrival : run.plan.arrivals)
          run.sim.after(arrival.atMs * 1000, [&run, &job = arrival.job] { run.submit(job.id, run.enter(job)); });
        return;
      }
      for (const auto& load : run.plan.load) run.arrivals(load);
      run.marks(3 * kSecond);
      run.readCharts();
    });
  });
  run.sweeps();
  for (const auto& name : plan.faults) {
    auto found = faults().find(name);
    if (found != faults().end()) found->second(run);
  }
  if (auto found = operations().find(plan.operation); found != operations().end()) {
    sim.place = plan.place;
    sim.onPlace = [&run](Host& host) { strike(run, host); };
    sim.at(run.fromUs, [&run, act = found->second] {
      run.sim.counting = true;
      act(run);
    });
  }
  sim.at(run.quietUs, [&run] { run.healAll(); });
  sim.runUntil(run.endUs);
  const auto probeUs = sim.nowUs();
  const std::string probe = "probe-1";
  run.submit(probe, run.makeJob(LineLoad{"probe", 1, 1, 1, 1, 1, 100, 100, 0, 0, 0}, probe, false, false));
  const Micros lastUs = run.endUs + static_cast<Micros>(plan.tailSeconds * kSecond);
  while (sim.nowUs() < lastUs) {
    sim.runUntil(sim.nowUs() + 100000);
    const auto& job = run.judge.jobs.at(probe);
    if (run.result.recoveredMs < 0 && !job.shown.empty()) run.result.recoveredMs = (sim.nowUs() - probeUs) / 1000;
    const bool over = std::all_of(run.judge.jobs.begin(), run.judge.jobs.end(),
                                  [](const auto& row) { return row.second.denied || (row.second.acceptedMs >= 0 && !row.second.shown.empty()); });
    if (over && sim.nowUs() > run.endUs + 8 * kSecond) break;
  }
  for (auto& [id, job] : run.judge.jobs)
    if (!job.denied) run.poll(id);
  std::size_t reads = 0;
  for (const auto& host : sim.all()) {
    if (!host->up) continue;
    Ask ask;
    ask.method = "GET";
    ask.path = "/configuration";
    sim.ask(*host, ask, [&run, &reads](Reply reply) {
      if (reply.lost || reply.status != 200) return;
      ++reads;
      run.readChart(reply.body, run.sim.nowMs(), true);
    });
  }
  sim.runUntil(sim.nowUs() + 5 * kSecond);
  run.judge.close();
  if (reads < 3) run.judge.broken.push_back({sim.nowMs(), "chart", "fewer than three daemons answer the configuration at the end of the day"});
  auto& result = run.result;
  result.seed = plan.seed;
  result.faults = plan.faults;
  result.broken = run.judge.broken;
  result.traceSum = sim.traceSum();
  result.events = sim.events();
  result.starts = run.judge.starts;
  result.checks = run.judge.checks;
  for (const auto& [id, job] : run.judge.jobs) {
    ++result.jobs;
    result.finished += job.shown == "finished";
    result.failed += job.shown == "failed";
    result.cancelled += job.shown == "cancelled";
    if (job.firstStartMs >= 0) result.startMs.push_back(job.firstStartMs - job.submittedMs);
    if (job.shown == "finished") result.finishMs.push_back(job.shownEndedMs - job.submittedMs);
  }
  for (const auto& host : sim.all()) {
    result.syncs += host->syncs;
    result.mostQuayKeys = std::max(result.mostQuayKeys, host->disk.jobs.size());
  }
  if (auto* leader = sim.leader()) {
    result.dropped = leader->node->pilot->counts.dropped;
    result.leaderKeys = leader->node->pilot->current.size();
    result.leaderJobs = leader->node->pilot->told.size();
  }
  result.points = sim.points;
  result.truth = std::move(run.judge.jobs);
  return result;
}

Millis quantile(std::vector<Millis> values, double at) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(at * static_cast<double>(values.size())))];
}

std::string summary(const DayResult& result) {
  std::string faults;
  for (const auto& name : result.faults) faults += (faults.empty() ? "" : "+") + name;
  char text[512];
  std::snprintf(text, sizeof text,
                "seed %llu %s: %s jobs %lld finished %lld failed %lld cancelled %lld; submit p50/p99 %lld/%lld start %lld/%lld finish %lld/%lld ms; "
                "gap %lld recovered %lld ms; %llu events, trace %016llx",
                static_cast<unsigned long long>(result.seed), faults.empty() ? "(no fault)" : faults.c_str(),
                result.broken.empty() ? "kept" : "BROKEN", static_cast<long long>(result.jobs), static_cast<long long>(result.finished),
                static_cast<long long>(result.failed), static_cast<long long>(result.cancelled), static_cast<long long>(quantile(result.submitMs, 0.5)),
                static_cast<long long>(quantile(result.submitMs, 0.99)), static_cast<long long>(quantile(result.startMs, 0.5)),
                static_cast<long long>(quantile(result.startMs, 0.99)), static_cast<long long>(quantile(result.finishMs, 0.5)),
                static_cast<long long>(quantile(result.finishMs, 0.99)), static_cast<long long>(result.leaderGapMs),
                static_cast<long long>(result.recoveredMs), static_cast<unsigned long long>(result.events),
                static_cast<unsigned long long>(result.traceSum));
  return text;
}

}  // namespace tulip::drydock
