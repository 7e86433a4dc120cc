#include "simulator/faults.hpp"

#include <algorithm>

/// Operators that send a queue to another pool, or take a queue away with its pool, while it has accepted jobs.
namespace tulip::simulator {

namespace {

constexpr const char* kQueue = "seasonal";
constexpr const char* kOtherPool = "annex";
constexpr int kJobs = 12;

/// Jobs of several tasks, the last of which starts when the others are done.
LineLoad queueLoad() { return {kQueue, 1, 3, 5, 1, 2, 1500, 3500, 0.3, 1.0, 0}; }

/// The change's part of this name, made if it isn't there.
json_t* partOf(json_t* change, const char* name) {
  if (json_t* known = json_object_get(change, name)) return known;
  json_t* made = json_object();
  json_object_set_new(change, name, made);
  return made;
}

std::string changeOf(World& world, const json_t* change, std::string& mark) {
  mark = "mark-" + std::to_string(++world.nextMark);
  Json body(json_deep_copy(change));
  json_object_set_new(partOf(body.get(), "pendings"), mark.c_str(), json_object());
  return dumpJson(body.get());
}

void change(World& world, const json_t* wanted, std::function<void()> then) {
  std::string mark;
  const auto body = changeOf(world, wanted, mark);
  world.changeConfig("PATCH", body, mark, "t-" + mark, "", [then = std::move(then)](bool done) {
    if (done && then) then();
  });
}

void moveWorker(World& world, SimWorker& simWorker) {
  world.sim.crashWorker(simWorker);
  simWorker.worker.traits.pool = kOtherPool;
  world.sim.after(kSecond / 5, [&world, &simWorker] { world.sim.startWorker(simWorker); });
}

/// Every second worker of the pool comes back in the other pool.
void moveEverySecondWorker(World& world, const std::string& pool) {
  bool moves = false;
  for (const auto& each : world.sim.simWorkers()) {
    if (each->worker.traits.pool != pool) continue;
    moves = !moves;
    if (moves) moveWorker(world, *each);
  }
}

/// The first pool's definition, for as many workers as there are in these pools now.
Json definitionFor(const World& world, const std::set<std::string>& counted) {
  const Json config = parseJson(world.baseConfig());
  const auto first = poolOf(world.plan.fleet, 0);
  Json definition(json_deep_copy(json_object_get(json_object_get(config.get(), "pools"), first.c_str())));
  const auto workers = std::ranges::count_if(
      world.sim.simWorkers(), [&](const auto& simWorker) { return counted.contains(simWorker->worker.traits.pool); });
  json_object_set_new(definition.get(), "workers", json_integer(workers));
  return definition;
}

/// A change that gives the queue this definition; null removes it.
Json queueChange(Json definition) {
  Json made(json_object());
  json_object_set_new(partOf(made.get(), "pendings"), kQueue, definition.release());
  return made;
}

Json queueSentTo(const std::string& pool) {
  Json queue(json_object());
  json_object_set_new(queue.get(), "pool", jsonText(pool));
  return queueChange(std::move(queue));
}

void addPool(json_t* change, const std::string& pool, Json definition) {
  json_object_set_new(partOf(change, "pools"), pool.c_str(), definition.release());
}

/// The queue is sent to the pool by this change, and the judge knows of it.
void sendQueue(World& world, json_t* wanted, const std::string& pool, std::function<void()> then) {
  world.judge.queueSending(kQueue, pool);
  change(world, wanted, [&world, pool, then = std::move(then)] {
    world.judge.queueSent(kQueue, pool);
    then();
  });
}

bool allAccepted(const World& world) {
  return std::ranges::all_of(world.judge.jobs, [](const auto& row) {
    return row.second.line != kQueue || row.second.acceptedMs >= 0 || row.second.turnedAway;
  });
}

void whenAllAccepted(World& world, std::function<void()> act) {
  if (allAccepted(world)) return act();
  world.sim.after(kSecond / 10, [&world, act = std::move(act)] { whenAllAccepted(world, act); });
}

/// A job that nobody cancels or hands in again: once its queue is removed, a late hand-in is told so.
void submitToQueue(World& world) {
  const auto id = kQueue + ("-" + std::to_string(++world.nextJob));
  auto body = world.makeJob(queueLoad(), id, false, false);
  world.submit(id, std::move(body));
}

/// The queue is there, sent to the first pool, with the other beside it; `then` follows once its jobs are accepted.
void beginQueue(World& world, std::function<void(const std::string& pool)> then) {
  const auto pool = poolOf(world.plan.fleet, 0);
  moveEverySecondWorker(world, pool);
  Json wanted = queueSentTo(pool);
  for (const std::string& each : {pool, std::string(kOtherPool)})
    addPool(wanted.get(), each, definitionFor(world, {each}));
  sendQueue(world, wanted.get(), pool, [&world, pool, then = std::move(then)] {
    for (int i = 0; i < kJobs; ++i) submitToQueue(world);
    whenAllAccepted(world, [&world, pool, then] { world.sim.after(kSecond, [pool, then] { then(pool); }); });
  });
}

/// The pool's last workers come back in the other pool.
void retirePool(World& world, const std::string& pool) {
  for (const auto& each : world.sim.simWorkers())
    if (each->worker.traits.pool == pool) moveWorker(world, *each);
}

void moveQueue(World& world) {
  beginQueue(world, [&world](const std::string& pool) {
    Json wanted = queueSentTo(kOtherPool);
    addPool(wanted.get(), pool, Json(json_null()));
    addPool(wanted.get(), kOtherPool, definitionFor(world, {pool, kOtherPool}));
    sendQueue(world, wanted.get(), kOtherPool, [&world, pool] {
      world.judge.poolRemoved(pool);
      world.sim.after(2 * kSecond, [&world, pool] { retirePool(world, pool); });
    });
  });
}

bool allEnded(const World& world) {
  return std::ranges::all_of(world.judge.jobs, [](const auto& row) {
    return row.second.line != kQueue || row.second.turnedAway || !row.second.shown.empty();
  });
}

void retireOnceEnded(World& world, const std::string& pool) {
  if (allEnded(world)) return retirePool(world, pool);
  world.sim.after(kSecond / 10, [&world, pool] { retireOnceEnded(world, pool); });
}

void removeQueueWithItsPool(World& world) {
  beginQueue(world, [&world](const std::string& pool) {
    Json wanted = queueChange(Json(json_null()));
    addPool(wanted.get(), pool, Json(json_null()));
    addPool(wanted.get(), kOtherPool, definitionFor(world, {pool, kOtherPool}));
    change(world, wanted.get(), [&world, pool] {
      world.judge.poolRemoved(pool);
      retireOnceEnded(world, pool);
    });
  });
}

}  // namespace

FaultTable queuesFaults() {
  return {{"queue-moved", [](World& world) { world.sim.at(world.fromUs, [&world] { moveQueue(world); }); }},
          {"queue-and-pool-removed",
           [](World& world) { world.sim.at(world.fromUs, [&world] { removeQueueWithItsPool(world); }); }}};
}

}  // namespace tulip::simulator
