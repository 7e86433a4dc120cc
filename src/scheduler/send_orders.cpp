// What the leader orders at a worker: the attempts that it wants there, and what is needed to start those that the
// worker's agent doesn't know yet. Specs and checkpoints on their way to a worker are bounded, so that neither the
// leader nor the agent holds them for all that waits there; the others follow once these have been started.
#include <algorithm>

#include "scheduler/internal.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

// Of specs and checkpoints that are ordered at a worker and not started there: twice what its agent hands over at once.
constexpr std::size_t kMostUnstartedBytes = 4u << 20;

/// An attempt that is wanted at the worker.
struct Wanted {
  const AttemptId* run = nullptr;
  const Job* job = nullptr;
  std::size_t task = 0;
  const Task* row = nullptr;
  bool stop = false;
  bool listed = false;             // by the agent, which has all that it needs of it
  std::uint64_t firstOrdered = 0;  // the first orders that told of it, by their number; 0: none did
  std::int64_t rank = 0;

  const std::string& payload() const {
    const auto& own = job->stepOf(task).payload;
    return own.empty() ? job->spec->payload : own;
  }
  /// What the worker is given to start it.
  std::size_t startBytes() const { return payload().size() + row->saved.size(); }
};

class OrdersMaker {
 public:
  OrdersMaker(SchedulerState& scheduler, WorkerRow& row, Now now) : scheduler_(scheduler), row_(row), now_(now) {}

  Orders make() {
    addHeader();
    for (const auto& each : wantedRuns()) add(each);
    row_.firstOrdered = std::move(ordered_);
    return std::move(orders_);
  }

 private:
  void addHeader() {
    orders_.term = scheduler_.term;
    orders_.seq = ++row_.ordersSeq;
    orders_.agent = row_.last.agent;
    orders_.acknowledgedSeq = row_.last.seq;
    orders_.acknowledgedMs = row_.last.sentMs;
    orders_.configVersion = scheduler_.client.configVersion;
    orders_.fleetMs = fleet(scheduler_, now_);
  }

  /// In the order of their starts: what is on its way, then the rest by rank and age.
  std::vector<Wanted> wantedRuns() {
    const auto& stillHeld = scheduler_.held[row_.id];
    std::vector<Wanted> known, fresh;
    for (const auto& [run, where] : scheduler_.committedHeld[row_.id]) {
      Wanted wanted{&run, scheduler_.committedJobs.at(where.first).get(), where.second};
      wanted.row = &wanted.job->tasks[wanted.task];
      // What was given up, and is not committed as such yet, must not start any more: a start is good from the report
      // that these orders answer. An end that the agent lists is kept there by a stop as well.
      wanted.stop = wanted.row->stopping || !stillHeld.contains(run);
      wanted.listed = row_.listed.contains(run.value);
      if (const auto first = row_.firstOrdered.find(run.value); first != row_.firstOrdered.end())
        wanted.firstOrdered = first->second;
      if (wanted.stop || wanted.listed || wanted.firstOrdered > 0) {
        if (!wanted.stop && (!wanted.listed || row_.unstarted.contains(run.value)))
          unstartedBytes_ += wanted.startBytes();
        known.push_back(wanted);
        continue;
      }
      wanted.rank = queueOf(scheduler_, *wanted.job).rank;
      fresh.push_back(wanted);
    }
    std::ranges::stable_sort(fresh, [](const Wanted& one, const Wanted& other) {
      if (one.rank != other.rank) return one.rank > other.rank;
      return one.row->orderedMs < other.row->orderedMs;
    });
    known.insert(known.end(), fresh.begin(), fresh.end());
    return known;
  }

  void add(const Wanted& wanted) {
    WantedAttempt order{*wanted.run, wanted.stop, {}, wanted.row->workerIncarnation, {}, false};
    if (!wanted.stop && !wanted.listed) {
      if (wanted.firstOrdered == 0 && !fits(wanted)) return defer(std::move(order.id));
      addStart(wanted, order);
    }
    ordered_[wanted.run->value] = wanted.firstOrdered > 0 ? wanted.firstOrdered : orders_.seq;
    orders_.wanted.push_back(std::move(order));
  }

  /// Whether a new start may be on its way beside the others, and counts it. One that is too large goes alone. Behind
  /// one that doesn't fit no other goes, so that those that are large are not passed for ever.
  bool fits(const Wanted& wanted) {
    const auto bytes = wanted.startBytes();
    full_ = full_ || (unstartedBytes_ > 0 && unstartedBytes_ + bytes > kMostUnstartedBytes);
    if (!full_) unstartedBytes_ += bytes;
    return !full_;
  }

  /// It is named, so that an agent that knows it from an earlier leader keeps it. An agent of an earlier build would
  /// ask for it again at once.
  void defer(AttemptId run) {
    if (row_.last.takesSharedSpecs) orders_.deferred.push_back(std::move(run));
  }

  void addStart(const Wanted& wanted, WantedAttempt& order) {
    order.whole = true;
    order.saved = wanted.row->saved;
    const auto& job = *wanted.job;
    if (job.spec->plainNames || scheduler_.client.settings.adapter.empty())
      order.spec = ownSpec(wanted);
    else if (row_.last.takesSharedSpecs)
      shareSpec(wanted.payload());
    else
      order.spec = wanted.payload();
  }

  /// What a worker of the own interface is given: it names the task beside the payload.
  static std::string ownSpec(const Wanted& wanted) {
    const auto& job = *wanted.job;
    Json spec(json_object());
    json_object_set_new(spec.get(), "job", jsonText(job.id.view()));
    json_object_set_new(spec.get(), "task", jsonText(taskName(job, wanted.task)));
    json_object_set_new(spec.get(), "slots", json_integer(job.stepOf(wanted.task).need.slots));
    if (Json own = parseJson(wanted.payload())) json_object_set_new(spec.get(), "payload", own.release());
    return dumpJson(spec.get());
  }

  /// Gives the spec of the attempt that is wanted next.
  void shareSpec(const std::string& payload) {
    const auto [found, added] = specPlaces_.try_emplace(payload, orders_.sharedSpecs.size());
    if (added) orders_.sharedSpecs.push_back({payload, {}});
    orders_.sharedSpecs[found->second].attempts.push_back(static_cast<std::uint32_t>(orders_.wanted.size()));
  }

  SchedulerState& scheduler_;
  WorkerRow& row_;
  Now now_;
  Orders orders_;
  std::size_t unstartedBytes_ = 0;
  bool full_ = false;
  absl::flat_hash_map<std::string, std::uint64_t> ordered_;        // becomes the worker's firstOrdered
  absl::flat_hash_map<std::string_view, std::size_t> specPlaces_;  // of the specs among the shared ones
};

}  // namespace

void sendOrders(SchedulerState& scheduler, WorkerRow& row, Now now, Outbox& out) {
  if (row.heardMs < 0 || row.leaseWithheld || !leads(scheduler, now)) return;
  out.send(row.agent, OrdersMaker(scheduler, row, now).make());
}

}  // namespace tulip::scheduler
