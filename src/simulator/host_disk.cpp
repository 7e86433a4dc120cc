#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

namespace {

void apply(storage::Image& disk, const Persist& persist) {
  for (const auto& entry : persist.entries) storage::apply(disk, entry);
}

}  // namespace

void Sim::sync(Host& host) {
  if (!host.writing.empty()) return;
  host.writing = std::exchange(host.unsynced, {});
  ++host.syncs;
  after(host.syncUs + below(host.syncUs), [this, &host, life = host.lives] { finishSync(host, life); });
}

void Sim::finishSync(Host& host, int life) {
  constexpr Micros kRetryUs = 100000;
  if (!host.up || host.lives != life) return;
  if (host.diskBlocked) return after(kRetryUs, [this, &host, life] { finishSync(host, life); });
  const auto batch = std::exchange(host.writing, {});
  for (const auto& persist : batch) apply(host.disk, persist);
  for (const auto& persist : batch) {
    give(host, Persisted{persist.ticket, true});
    if (!host.up || host.lives != life) return;
  }
  if (!host.unsynced.empty()) sync(host);
}

void Sim::endWrites(Host& host) {
  const bool kept = !host.diskBlocked && chance(0.5);
  for (const auto& persist : host.writing)
    if (kept) apply(host.disk, persist);
  host.writing.clear();
  host.unsynced.clear();
}

void Sim::loseDisk(Host& host) {
  mark("lose disk " + host.name);
  trouble();
  host.disk = storage::Image{};
}

}  // namespace tulip::simulator
