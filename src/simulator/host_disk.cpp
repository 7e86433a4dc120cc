#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

namespace {

void apply(storage::Image& disk, const Persist& persist) {
  for (const auto& entry : persist.entries) storage::apply(disk, entry);
}

/// What a batch adds to the file, about.
std::size_t bytesOf(const std::vector<Persist>& batch) {
  constexpr std::size_t kFrameBytes = 40;
  std::size_t bytes = 0;
  for (const auto& persist : batch)
    for (const auto& each : persist.entries) bytes += each.entry.key.size() + each.entry.value.size() + kFrameBytes;
  return bytes;
}

}  // namespace

void Sim::sync(Host& host) {
  if (!host.writing.empty()) return;
  host.writing = std::exchange(host.unsynced, {});
  ++host.syncs;
  // A megabyte a second is a byte a microsecond.
  const auto transferUs =
      plan.diskMbPerS > 0 ? static_cast<Micros>(static_cast<double>(bytesOf(host.writing)) / plan.diskMbPerS) : 0;
  after(host.syncUs + below(host.syncUs) + transferUs, [this, &host, life = host.lives] { finishSync(host, life); });
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
  if (host.isDiskless()) host.disk = storage::Image{};
}

void Sim::loseDisk(Host& host) {
  mark("lose disk " + host.name);
  trouble();
  host.disk = storage::Image{};
}

}  // namespace tulip::simulator
