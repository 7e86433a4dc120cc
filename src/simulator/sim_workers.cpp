#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

namespace {

constexpr Micros kLeastLateUs = 400000;  // by which the last report of a life that crashed is late

}  // namespace

void Sim::startWorker(SimWorker& simWorker) {
  if (simWorker.up) return;
  simWorker.up = true;
  ++simWorker.lives;
  const auto traits = simWorker.worker.traits;
  simWorker.worker = commands::Worker{};
  simWorker.worker.traits = traits;
  simWorker.worker.incarnation = "w" + std::to_string(++names_);
  simWorker.news = false;
  workerTrouble();
  simWorker.calling = false;
  simWorker.frozenUntilUs = 0;
  const int life = simWorker.lives;
  after(below(plan.workerStepUs), [this, &simWorker, life] { workerTick(simWorker, life); });
}

void Sim::crashWorker(SimWorker& simWorker) {
  if (!simWorker.up) return;
  mark("crash " + simWorker.worker.traits.name);
  workerTrouble();
  if (onWorkerCrash) onWorkerCrash(simWorker);
  simWorker.up = false;
  ++simWorker.lives;
  sendLastReportLate(simWorker);
  for (const auto& [run, running] : simWorker.worker.running)
    simWorker.worker.journal.push_back("end " + run + " crashed");
  simWorker.worker.running.clear();
  drainJournal(simWorker);
}

void Sim::sendLastReportLate(SimWorker& simWorker) {
  constexpr int kDelays = 8;
  Ask text;
  text.method = "POST";
  text.path = "/worker/report";
  text.body = commands::nextReport(simWorker.worker, clockOf(simWorker));
  const Micros lateUs = kLeastLateUs + simWorker.lives % kDelays * kLeastLateUs;
  after(lateUs, [this, &simWorker, text] {
    if (simWorker.up && simWorker.agent) ask(*simWorker.agent, text, [](const Reply&) {});
  });
}

void Sim::freezeWorker(SimWorker& simWorker, Micros spanUs) { simWorker.frozenUntilUs = now_ + spanUs; }

void Sim::drainJournal(SimWorker& simWorker) {
  auto lines = std::move(simWorker.worker.journal);
  simWorker.worker.journal.clear();
  for (const auto& line : lines) {
    mark(simWorker.worker.traits.name + " " + line);
    noteGang(simWorker, line);
    if (onJournal) onJournal(simWorker, line);
  }
}

void Sim::noteGang(SimWorker& simWorker, const std::string& line) {
  if (line.starts_with("start ")) {
    const auto run = line.substr(6, line.find(' ', 6) - 6);
    const auto found = simWorker.worker.running.find(run);
    if (found == simWorker.worker.running.end() || found->second.gang.empty()) return;
    gangs_[found->second.gang];
    gangRuns_.insert(run);
  } else if (line.starts_with("end ")) {
    const auto run = line.substr(4, line.rfind(' ') - 4);
    if (gangRuns_.erase(run) && !line.ends_with(" clean")) gangs_[commands::gangOf(run)].broken = true;
  }
}

void Sim::gangTick() {
  after(plan.workerStepUs, [this] { gangTick(); });
  if (gangRuns_.empty()) return;
  struct Member {
    SimWorker* simWorker;
    std::string run;
    const commands::RunningAttempt* running;
  };
  std::map<std::string, std::vector<Member>> present;
  for (const auto& simWorker : simWorkers_)
    for (const auto& [run, running] : simWorker->worker.running)
      if (!running.gang.empty()) present[running.gang].push_back({simWorker.get(), run, &running});
  std::set<SimWorker*> touched;
  for (auto& [key, members] : present) {
    auto& gang = gangs_[key];
    if (gang.broken) {
      for (const auto& member : members) {
        if (member.running->stopping || now_ < member.simWorker->frozenUntilUs) continue;
        commands::gangBroken(member.simWorker->worker, member.run, clockOf(*member.simWorker));
        touched.insert(member.simWorker);
      }
      continue;
    }
    const bool frozen = std::any_of(members.begin(), members.end(),
                                    [&](const auto& member) { return now_ < member.simWorker->frozenUntilUs; });
    if (frozen || static_cast<std::int64_t>(members.size()) < members.front().running->members) continue;
    if (!gang.whole) {
      gang.whole = true;
      std::set<std::string> racks;
      for (const auto& member : members) racks.insert(member.simWorker->worker.traits.labels["rack"]);
      const double factor = members.front().running->oneRack && racks.size() > 1 ? plan.bounds.farFactor : 1.0;
      for (const auto& member : members)
        commands::gangWhole(member.simWorker->worker, member.run, factor, clockOf(*member.simWorker));
      continue;
    }
    if (!std::all_of(members.begin(), members.end(), [](const auto& member) {
          return member.running->workDone && !member.running->stopping && !member.running->fails;
        }))
      continue;
    for (const auto& member : members) {
      commands::gangDone(member.simWorker->worker, member.run, clockOf(*member.simWorker));
      touched.insert(member.simWorker);
    }
  }
  for (const auto& simWorker : simWorkers_) {
    if (!touched.contains(simWorker.get())) continue;
    simWorker->news = true;
    drainJournal(*simWorker);
  }
}

void Sim::workerTick(SimWorker& simWorker, int life) {
  if (!simWorker.up || simWorker.lives != life) return;
  if (now_ >= simWorker.frozenUntilUs) {
    const bool news = commands::workerTick(simWorker.worker, clockOf(simWorker)) || simWorker.news;
    simWorker.news = false;
    drainJournal(simWorker);
    if (!simWorker.worker.traits.mute &&
        (news || (!simWorker.calling && clockOf(simWorker) >= simWorker.worker.callAtMs)))
      workerCall(simWorker);
  }
  after(plan.workerStepUs, [this, &simWorker, life] { workerTick(simWorker, life); });
}

void Sim::workerCall(SimWorker& simWorker) {
  simWorker.calling = true;
  const int life = simWorker.lives;
  const auto sentMs = clockOf(simWorker);
  Ask text;
  text.method = "POST";
  text.path = "/worker/report";
  text.body = commands::nextReport(simWorker.worker, sentMs);
  const auto number = simWorker.worker.report;
  auto finish = [this, &simWorker, life, sentMs, number, body = text.body](const Reply& got) {
    if (!simWorker.up || simWorker.lives != life) return;
    auto act = [this, &simWorker, life, sentMs, number, got, body] {
      if (!simWorker.up || simWorker.lives != life) return;
      if (simWorker.worker.report != number || !simWorker.calling) {
        if (!got.lost && got.status == 200)
          commands::heardAnswer(simWorker.worker, got.body, sentMs, clockOf(simWorker));
        return;
      }
      commands::workerTick(simWorker.worker, clockOf(simWorker));
      if (!got.lost && got.status == 200) {
        commands::heardAnswer(simWorker.worker, got.body, sentMs, clockOf(simWorker));
      }
      if (onReported) onReported(simWorker, body, got.lost ? 0 : got.status);
      drainJournal(simWorker);
      simWorker.calling = false;
      if (!got.lost && got.status == 200 && clockOf(simWorker) >= simWorker.worker.callAtMs) workerCall(simWorker);
    };
    if (now_ < simWorker.frozenUntilUs)
      at(simWorker.frozenUntilUs + 1, act);
    else
      act();
  };
  if (simWorker.cut) {
    after(500000, [finish] { finish({true, 0, 0, {}}); });
    return;
  }
  ask(*simWorker.agent, text, [this, &simWorker, finish](Reply got) {
    if (simWorker.cut) got = {true, 0, 0, {}};
    if (got.lost)
      after(50000, [finish, got] { finish(got); });
    else
      finish(got);
  });
  after(2000000, [finish] { finish({true, 0, 0, {}}); });
}

}  // namespace tulip::simulator
