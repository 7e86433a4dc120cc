#pragma once
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "control/replica.hpp"

namespace tulip::fixture {

// Replicas and crews on one simulated clock; messages take delayMs, or up to spreadMs more, and a sync syncMs.
struct Berthed {
  Settings settings;
  std::optional<control::ReplicaState> replica;
  std::optional<control::ControlClient> client;
  storage::Image disk;
  bool up = false;
  int lives = 0;
  Millis frozenUntilMs = 0;
  std::vector<std::function<void()>> held;
  std::vector<transport::Answer> answers;
  std::vector<std::string> alarms;
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

class Fixture {
 public:
  std::int64_t losses = 1;
  Bounds bounds;
  std::vector<Address> seeds;
  Millis delayMs = 1, spreadMs = 0, syncMs = 1, tickMs = 10;
  bool weigh = false;
  std::map<int, Millis> farMs;  // how much longer messages to and from a machine take
  std::function<bool(const Address& from, const Address& to, const transport::Message&)> loses;  // where set
  std::map<int, double> linkBytesPerMs;  // of a machine's own link, each way; any other link is as wide as it needs
  Millis nowMs = 100000;

  Fixture() {
    bounds.leaseMs = 1000;
    bounds.catchUpMs = 4000;
  }

  static Address addressOf(int number) { return Address("10.0.0." + std::to_string(number) + ":1"); }

  Berthed& replica(int number, const char* zone, bool disk = true, bool firstBoot = true) {
    auto& made = add(number, Role::replica, zone);
    made.settings.dataFolder = disk ? "simulated" : "";
    made.settings.firstBoot = firstBoot;
    start(number);
    return made;
  }

  Berthed& client(int number, Role role = Role::scheduler, const char* zone = "a") {
    auto& made = add(number, role, zone);
    start(number);
    return made;
  }

  Berthed& at(int number) { return *workers_.at(addressOf(number)); }
  control::ReplicaState& replicaAt(int number) { return *at(number).replica; }
  control::ControlClient& clientAt(int number) { return *at(number).client; }

  void start(int number) {
    auto& worker = at(number);
    worker.up = true;
    const auto life = ++worker.lives;
    worker.frozenUntilMs = 0;
    const auto name = "d" + std::string(number < 10 ? "0" : "") + std::to_string(number) + "-" + std::to_string(life);
    if (worker.settings.role == Role::replica) {
      if (worker.disk.id.empty()) worker.disk.id = DaemonId(name);
      if (worker.settings.dataFolder.empty()) worker.disk = emptyImage(name);
      worker.replica = control::makeReplica(worker.settings, worker.disk, name, {nowMs});
    } else {
      worker.client = control::makeControlClient(worker.settings, DaemonId(name), name);
    }
    tick(worker, life);
  }

  void stop(int number) {
    auto& worker = at(number);
    worker.up = false;
    ++worker.lives;
    worker.held.clear();
  }

  void wipe(int number) {
    at(number).disk = storage::Image{};
    at(number).settings.firstBoot = false;
  }

  void freeze(int number, Millis spanMs) {
    auto& worker = at(number);
    worker.frozenUntilMs = nowMs + spanMs;
    after(spanMs, [&worker, life = worker.lives] {
      if (!worker.up || worker.lives != life) return;
      auto held = std::move(worker.held);
      worker.held.clear();
      for (auto& act : held) act();
    });
  }

  void cut(int one, int other) {
    cuts_.insert({addressOf(one), addressOf(other)});
    cuts_.insert({addressOf(other), addressOf(one)});
  }
  void heal() { cuts_.clear(); }

  void propose(int number, control::Edit edit, std::uint64_t requestId = 1, Millis deadlineMs = 4000) {
    auto& worker = at(number);
    transport::Outbox out;
    control::proposeConfig(*worker.client, requestId, std::move(edit), deadlineMs, {nowMs}, out);
    settle(worker, std::move(out));
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

  // The members of the newest membership, when a majority of them stands in it and all that are up vote.
  bool stands(std::size_t voters) {
    const transport::Membership* newest = nullptr;
    for (auto& [address, worker] : workers_)
      if (worker->up && worker->replica && (!newest || newest->version < worker->replica->image.membership.version))
        newest = &worker->replica->image.membership;
    if (!newest || newest->voters.size() != voters) return false;
    std::size_t standing = 0;
    for (const auto& voter : newest->voters) {
      auto& worker = *workers_.at(voter.peerAddress);
      if (!worker.up || worker.replica->image.id != voter.id) continue;
      if (worker.replica->image.membership != *newest || !worker.replica->image.voting) return false;
      standing += control::hasQuorumLease(*worker.replica, {nowMs});
    }
    return standing >= control::majority(voters);
  }

  // No two replicas ever hold different memberships of the same revision.
  bool oneFleet() {
    std::map<Version, transport::Membership> seen;
    for (auto& [address, worker] : workers_) {
      if (!worker->replica || worker->replica->image.empty()) continue;
      auto [found, fresh] = seen.emplace(worker->replica->image.membership.version, worker->replica->image.membership);
      if (!fresh && found->second != worker->replica->image.membership) return false;
    }
    return true;
  }

  std::map<Address, std::unique_ptr<Berthed>>& all() { return workers_; }

 private:
  static storage::Image emptyImage(const std::string& name) {
    storage::Image image;
    image.id = DaemonId(name);
    return image;
  }

  struct Due {
    Millis whenMs;
    std::uint64_t serial;
    std::function<void()> act;
    bool operator<(const Due& other) const { return std::tie(whenMs, serial) > std::tie(other.whenMs, other.serial); }
  };

  Berthed& add(int number, Role role, const char* zone) {
    auto& made = workers_[addressOf(number)];
    made = std::make_unique<Berthed>();
    made->settings.role = role;
    made->settings.peerAddress = addressOf(number);
    made->settings.http = Address("10.0.0." + std::to_string(number) + ":2");
    made->settings.zone = ZoneName(zone);
    made->settings.seeds = seeds;
    made->settings.losses = losses;
    made->settings.bounds = bounds;
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

  void tick(Berthed& worker, int life) {
    if (!worker.up || worker.lives != life) return;
    if (nowMs >= worker.frozenUntilMs) give(worker, transport::Tick{});
    after(tickMs, [this, &worker, life] { tick(worker, life); });
  }

  void give(Berthed& worker, transport::Event event) {
    if (!worker.up) return;
    if (nowMs < worker.frozenUntilMs) {
      worker.held.push_back([this, &worker, event = std::move(event)] { give(worker, event); });
      return;
    }
    transport::Outbox out;
    if (worker.replica)
      control::replicaStep(*worker.replica, event, {nowMs}, out);
    else if (const auto* heard = std::get_if<transport::Heard>(&event))
      control::clientHeard(*worker.client, *heard, {nowMs}, out);
    else
      control::clientTick(*worker.client, {nowMs}, out);
    settle(worker, std::move(out));
  }

  void settle(Berthed& worker, transport::Outbox&& out) {
    const auto life = worker.lives;
    for (auto& alarm : out.alarms) worker.alarms.push_back(std::move(alarm));
    for (auto& answer : out.answers) worker.answers.push_back(std::move(answer));
    for (auto& persist : out.persists)
      after(syncMs, [this, &worker, life, persist = std::move(persist)] {
        if (!worker.up || worker.lives != life) return;
        for (const auto& entry : persist.entries) storage::apply(worker.disk, entry);
        give(worker, transport::Persisted{persist.ticket, true});
      });
    for (auto& send : out.sends) {
      const auto id = worker.replica ? worker.replica->image.id : worker.client->id;
      const auto process = worker.replica ? worker.replica->client.process : worker.client->process;
      ++worker.messages;
      if (weigh)
        worker.bytes += transport::encode({transport::kProtocolVersion, id, worker.settings.peerAddress, send.to,
                                           send.message, process, process})
                            .size();
      auto found = workers_.find(send.to);
      if (found == workers_.end()) continue;
      if (loses && loses(worker.settings.peerAddress, send.to, send.message)) continue;
      const auto lateMs = send.to == worker.settings.peerAddress
                              ? 0
                              : delayMs + farBetween(worker.settings.peerAddress, send.to) +
                                    static_cast<Millis>(random_() % static_cast<std::uint64_t>(spreadMs + 1));
      // Lines keep their order.
      auto& line = lines_[{worker.settings.peerAddress, send.to}];
      line = std::max(line, passLinks(worker, send, id, process) + lateMs);
      due_.push(
          {line, ++serial_,
           [this, from = worker.settings.peerAddress, &to = *found->second,
            heard = transport::Heard{id, worker.settings.peerAddress, std::move(send.message), send.to, process}] {
             if (!cuts_.contains({from, to.settings.peerAddress})) give(to, heard);
           }});
    }
  }

  Millis farBetween(const Address& one, const Address& other) const {
    Millis spanMs = 0;
    for (const auto& [number, farMs] : farMs)
      if (addressOf(number) == one || addressOf(number) == other) spanMs += farMs;
    return spanMs;
  }

  // When the message has passed the links of both machines, behind what went over them before.
  Millis passLinks(const Berthed& from, const transport::Send& send, const DaemonId& id, Incarnation process) {
    if (linkBytesPerMs.empty() || send.to == from.settings.peerAddress) return nowMs;
    std::optional<double> size;
    auto passedMs = static_cast<double>(nowMs);
    const Address ends[] = {from.settings.peerAddress, send.to};
    for (const int way : {0, 1})
      for (const auto& [number, bytesPerMs] : linkBytesPerMs) {
        if (addressOf(number) != ends[way]) continue;
        const transport::Frame frame{
            transport::protocolVersionOf(send.message), id, ends[0], ends[1], send.message, process, process};
        if (!size) size = static_cast<double>(transport::encode(frame).size());
        auto& freeMs = linkFreeMs_[{number, way}];
        passedMs = freeMs = std::max(passedMs, freeMs) + *size / bytesPerMs;
      }
    return static_cast<Millis>(passedMs);
  }

  std::map<std::pair<int, int>, double>
      linkFreeMs_;  // when what a machine sent (0) or received (1) has passed its link
  std::map<Address, std::unique_ptr<Berthed>> workers_;
  std::map<std::pair<Address, Address>, Millis> lines_;
  std::set<std::pair<Address, Address>> cuts_;
  std::priority_queue<Due> due_;
  std::uint64_t serial_ = 0;
  std::mt19937_64 random_{7};
};

}  // namespace tulip::fixture
