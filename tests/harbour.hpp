#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "watch/quay.hpp"

namespace tulip::harbour {

// Quays and crews on one simulated clock; messages take delayMs, or up to spreadMs more, and a sync syncMs.
struct Berthed {
  Env env;
  std::optional<watch::QuayState> quay;
  std::optional<watch::Crew> crew;
  hold::Image disk;
  bool up = false;
  int lives = 0;
  Millis frozenUntilMs = 0;
  std::vector<std::function<void()>> held;
  std::vector<signal::Answer> answers;
  std::vector<std::string> alarms;
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

class Harbour {
 public:
  std::int64_t losses = 1;
  Bounds bounds;
  std::vector<Address> seeds;
  Millis delayMs = 1, spreadMs = 0, syncMs = 1, tickMs = 10;
  bool weigh = false;
  Millis nowMs = 100000;

  Harbour() {
    bounds.termMs = 1000;
    bounds.catchUpMs = 4000;
  }

  static Address addressOf(int number) { return Address("10.0.0." + std::to_string(number) + ":1"); }

  Berthed& quay(int number, const char* cell, bool disk = true, bool firstBoot = true) {
    auto& made = add(number, Role::quay, cell);
    made.env.dataFolder = disk ? "simulated" : "";
    made.env.firstBoot = firstBoot;
    start(number);
    return made;
  }

  Berthed& crew(int number, Role role = Role::pilot, const char* cell = "a") {
    auto& made = add(number, role, cell);
    start(number);
    return made;
  }

  Berthed& at(int number) { return *berths_.at(addressOf(number)); }
  watch::QuayState& quayAt(int number) { return *at(number).quay; }
  watch::Crew& crewAt(int number) { return *at(number).crew; }

  void start(int number) {
    auto& berth = at(number);
    berth.up = true;
    const auto life = ++berth.lives;
    berth.frozenUntilMs = 0;
    const auto name = "d" + std::string(number < 10 ? "0" : "") + std::to_string(number) + "-" + std::to_string(life);
    if (berth.env.role == Role::quay) {
      if (berth.disk.id.empty()) berth.disk.id = DaemonId(name);
      if (berth.env.dataFolder.empty()) berth.disk = emptyImage(name);
      berth.quay = watch::makeQuay(berth.env, berth.disk, name, {nowMs});
    } else {
      berth.crew = watch::makeCrew(berth.env, DaemonId(name), name);
    }
    tick(berth, life);
  }

  void stop(int number) {
    auto& berth = at(number);
    berth.up = false;
    ++berth.lives;
    berth.held.clear();
  }

  void wipe(int number) {
    at(number).disk = hold::Image{};
    at(number).env.firstBoot = false;
  }

  void freeze(int number, Millis spanMs) {
    auto& berth = at(number);
    berth.frozenUntilMs = nowMs + spanMs;
    after(spanMs, [&berth, life = berth.lives] {
      if (!berth.up || berth.lives != life) return;
      auto held = std::move(berth.held);
      berth.held.clear();
      for (auto& act : held) act();
    });
  }

  void cut(int one, int other) {
    cuts_.insert({addressOf(one), addressOf(other)});
    cuts_.insert({addressOf(other), addressOf(one)});
  }
  void heal() { cuts_.clear(); }

  void propose(int number, watch::Edit edit, std::uint64_t transaction = 1, Millis cutoffMs = 4000) {
    auto& berth = at(number);
    signal::Outbox out;
    watch::proposeChart(*berth.crew, transaction, std::move(edit), cutoffMs, {nowMs}, out);
    settle(berth, std::move(out));
  }

  void after(Millis spanMs, std::function<void()> act) { due_.push({nowMs + spanMs, ++serial_, std::move(act)}); }

  void run(Millis spanMs) {
    const auto until = nowMs + spanMs;
    while (step(until)) {
    }
    nowMs = until;
  }

  // How long it took until done, or -1 when it did not come within mostMs.
  Millis runUntil(Millis mostMs, const std::function<bool()>& done) {
    const auto from = nowMs;
    while (!done())
      if (!step(from + mostMs)) return nowMs = from + mostMs, -1;
    return nowMs - from;
  }

  // The members of the newest cohort, when a majority of them stands in it and all that are up vote.
  bool stands(std::size_t seats) {
    const signal::Cohort* newest = nullptr;
    for (auto& [address, berth] : berths_)
      if (berth->up && berth->quay && (!newest || newest->revision < berth->quay->image.cohort.revision)) newest = &berth->quay->image.cohort;
    if (!newest || newest->seats.size() != seats) return false;
    std::size_t standing = 0;
    for (const auto& seat : newest->seats) {
      auto& berth = *berths_.at(seat.signal);
      if (!berth.up || berth.quay->image.id != seat.id) continue;
      if (berth.quay->image.cohort != *newest || !berth.quay->image.voting) return false;
      standing += watch::standing(*berth.quay, {nowMs});
    }
    return standing >= watch::majority(seats);
  }

  // No two quays ever hold different cohorts of the same revision.
  bool oneFleet() {
    std::map<Revision, signal::Cohort> seen;
    for (auto& [address, berth] : berths_) {
      if (!berth->quay || berth->quay->image.empty()) continue;
      auto [found, fresh] = seen.emplace(berth->quay->image.cohort.revision, berth->quay->image.cohort);
      if (!fresh && found->second != berth->quay->image.cohort) return false;
    }
    return true;
  }

  std::map<Address, std::unique_ptr<Berthed>>& all() { return berths_; }

 private:
  static hold::Image emptyImage(const std::string& name) {
    hold::Image image;
    image.id = DaemonId(name);
    return image;
  }

  struct Due {
    Millis whenMs;
    std::uint64_t serial;
    std::function<void()> act;
    bool operator<(const Due& other) const { return std::tie(whenMs, serial) > std::tie(other.whenMs, other.serial); }
  };

  Berthed& add(int number, Role role, const char* cell) {
    auto& made = berths_[addressOf(number)];
    made = std::make_unique<Berthed>();
    made->env.role = role;
    made->env.signal = addressOf(number);
    made->env.http = Address("10.0.0." + std::to_string(number) + ":2");
    made->env.cell = CellName(cell);
    made->env.seeds = seeds;
    made->env.losses = losses;
    made->env.bounds = bounds;
    return *made;
  }

  bool step(Millis untilMs) {
    if (due_.empty() || due_.top().whenMs > untilMs) return false;
    auto next = std::move(const_cast<Due&>(due_.top()));
    due_.pop();
    nowMs = next.whenMs;
    next.act();
    return true;
  }

  void tick(Berthed& berth, int life) {
    if (!berth.up || berth.lives != life) return;
    if (nowMs >= berth.frozenUntilMs) give(berth, signal::Tick{});
    after(tickMs, [this, &berth, life] { tick(berth, life); });
  }

  void give(Berthed& berth, signal::Event event) {
    if (!berth.up) return;
    if (nowMs < berth.frozenUntilMs) {
      berth.held.push_back([this, &berth, event = std::move(event)] { give(berth, event); });
      return;
    }
    signal::Outbox out;
    if (berth.quay) watch::quayStep(*berth.quay, event, {nowMs}, out);
    else if (const auto* heard = std::get_if<signal::Heard>(&event)) watch::crewHeard(*berth.crew, *heard, {nowMs}, out);
    else watch::crewTick(*berth.crew, {nowMs}, out);
    settle(berth, std::move(out));
  }

  void settle(Berthed& berth, signal::Outbox&& out) {
    const auto life = berth.lives;
    for (auto& alarm : out.alarms) berth.alarms.push_back(std::move(alarm));
    for (auto& answer : out.answers) berth.answers.push_back(std::move(answer));
    for (auto& persist : out.persists)
      after(syncMs, [this, &berth, life, persist = std::move(persist)] {
        if (!berth.up || berth.lives != life) return;
        for (const auto& entry : persist.entries) hold::apply(berth.disk, entry);
        give(berth, signal::Persisted{persist.ticket, true});
      });
    for (auto& send : out.sends) {
      const auto id = berth.quay ? berth.quay->image.id : berth.crew->id;
      ++berth.messages;
      if (weigh) berth.bytes += signal::encode({signal::kRevision, id, berth.env.signal, send.to, send.message}).size();
      auto found = berths_.find(send.to);
      if (found == berths_.end()) continue;
      const auto lateMs = send.to == berth.env.signal ? 0 : delayMs + static_cast<Millis>(random_() % static_cast<std::uint64_t>(spreadMs + 1));
      // Lines keep their order.
      auto& line = lines_[{berth.env.signal, send.to}];
      line = std::max(line, nowMs + lateMs);
      due_.push({line, ++serial_, [this, from = berth.env.signal, &to = *found->second, heard = signal::Heard{id, berth.env.signal, std::move(send.message), send.to}] {
                   if (!cuts_.contains({from, to.env.signal})) give(to, heard);
                 }});
    }
  }

  std::map<Address, std::unique_ptr<Berthed>> berths_;
  std::map<std::pair<Address, Address>, Millis> lines_;
  std::set<std::pair<Address, Address>> cuts_;
  std::priority_queue<Due> due_;
  std::uint64_t serial_ = 0;
  std::mt19937_64 random_{7};
};

}  // namespace tulip::harbour
