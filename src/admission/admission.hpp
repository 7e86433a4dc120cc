#pragma once
#include <optional>
#include <span>
#include <vector>

#include "berth/berth.hpp"

namespace tulip::admission {

struct Counters {
  std::int64_t lane = 0;
  std::int64_t servedMs = 0;
  Millis ranMs = 0;
  Millis waitMs = 0;
  Millis firstStartMs = -1;
  std::int64_t totalServedMs = 0;
  std::int64_t promotions = 0;
  std::int64_t preemptions = 0;
  MSGPACK_DEFINE(lane, servedMs, ranMs, waitMs, firstStartMs, totalServedMs, promotions, preemptions)
};

void accrue(Counters& counters, std::int64_t heldSlots, bool waiting, Millis spanMs);
bool settle(Counters& counters, const chart::Admission& rules, bool holds);

struct HeldRun {
  std::size_t task = 0;
  std::size_t berth = 0;
  berth::Room room;
  bool stopping = false;
};

struct Candidate {
  JobId id;
  PendingName pending;
  Counters counters;
  std::int64_t rank = 0;
  Millis acceptedMs = 0;
  Millis readyForMs = 0;
  bool gang = false;
  std::vector<berth::Need> ready;
  std::vector<HeldRun> runs;
};

double gittinsIndex(std::int64_t servedMs, std::span<const std::int64_t> sizes, std::int64_t quantumMs);
std::vector<std::size_t> order(std::span<const Candidate> jobs, const chart::Admission& rules, std::span<const std::int64_t> sizes);

struct Start {
  std::size_t job = 0;
  std::size_t task = 0;
  std::size_t berth = 0;
  bool operator==(const Start&) const = default;
};
struct Stop {
  std::size_t job = 0;
  std::size_t task = 0;
  bool operator==(const Stop&) const = default;
};

struct Plan {
  std::vector<Start> starts;
  std::vector<Stop> stops;
  std::optional<std::size_t> reservedFor;
  std::size_t passedOver = 0;
  std::size_t tries = 0;
};

struct Field {
  std::vector<berth::Berth> berths;
  std::vector<berth::Room> free;
  std::map<PendingName, std::int64_t> quotaSlots;
  std::map<PendingName, std::int64_t> heldSlots;
};

Plan plan(std::span<const Candidate> jobs, Field field, const chart::Admission& rules, std::span<const std::int64_t> sizes);

}  // namespace tulip::admission
