#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

namespace {

constexpr int kPeerPort = 7000;

}  // namespace

Host& Sim::addNode(Role role, const std::string& name, const std::string& machine, const std::string& zone, int port) {
  hosts_.push_back(std::make_unique<Host>());
  auto& host = *hosts_.back();
  host.name = name;
  host.machine = machine;
  host.settings.role = role;
  host.settings.name = name;
  host.settings.zone = ZoneName(zone);
  host.settings.seeds = seeds_;
  host.settings.bounds = plan.bounds;
  host.settings.losses = plan.losses;
  auto [ip, fresh] = ipOf_.try_emplace(machine);
  if (fresh) {
    ip->second = "10.0." + std::to_string(addresses_ / 250) + "." + std::to_string(addresses_ % 250 + 1);
    ++addresses_;
  }
  host.settings.peerAddress = Address(ip->second + ":" + std::to_string(port));
  host.powered = false;
  nodesOf_[machine].push_back(&host);
  byName_[name] = &host;
  bySignal_[host.settings.peerAddress] = &host;
  return host;
}

Host& Sim::addHost(Role role, const std::string& name, const std::string& zone, const std::string& workerName) {
  auto& host = addNode(role, name, name, zone, kPeerPort);
  host.settings.worker = workerName;
  host.settings.dataFolder = role == Role::replica ? "simulated" : "";
  host.settings.http = Address(ipOf_.at(name) + ":8000");
  byHttp_[host.settings.http] = &host;
  links_.setRate(name, role == Role::agent ? plan.links.workerMbps : plan.links.largeMbps);
  return host;
}

Host& Sim::addSharedMachine(const std::string& name, const std::string& zone, bool disk) {
  auto& replica = addNode(Role::replica, "replica-" + name, name, zone, kPeerPort);
  replica.settings.dataFolder = disk ? "simulated" : "";
  auto& scheduler = addNode(Role::scheduler, "scheduler-" + name, name, zone, kPeerPort + 1);
  scheduler.settings.http = Address(ipOf_.at(name) + ":8000");
  byHttp_[scheduler.settings.http] = &scheduler;
  links_.setRate(name, disk ? plan.links.largeMbps : plan.links.smallMbps);
  return replica;
}

void Sim::start(Host& host) {
  if (host.up) return;
  host.settings.role == Role::agent ? workerTrouble() : trouble();
  links_.disconnect(host.machine, now_);
  if (!host.powered) host.clock = switchedOn(host.clock, now_, [this](std::int64_t bound) { return below(bound); });
  for (auto* node : nodesBeside(host)) {
    node->clock = host.clock;
    startNode(*node);
  }
}

void Sim::startNode(Host& host) {
  host.up = true;
  host.left = false;
  ++host.lives;
  host.frozenUntilUs = 0;
  host.returnedUs = now_;
  host.wakeUs = -1;
  host.nextRequest = 0;
  host.powered = true;
  if (seedsChange && host.lives > 1) host.settings.seeds = drawSeeds();
  const auto incarnation = "i" + std::to_string(++names_);
  if (host.settings.role == Role::replica) {
    if (host.disk.id.empty()) host.disk.id = DaemonId(host.name + "-" + incarnation);
    host.id = host.disk.id;
  } else {
    host.id = DaemonId(host.name + "-" + incarnation);
  }
  host.node = daemon::makeNode(host.settings, host.id, incarnation, host.disk, clock(host));
  host.node->adapter = adapter_;
  mark("start " + host.name);
  const int life = host.lives;
  after(below(plan.tickUs), [this, &host, life] { tick(host, life); });
}

void Sim::crash(Host& host) {
  if (!host.up) return;
  mark("crash " + host.name);
  endProcess(host);
}

void Sim::losePower(Host& host) {
  for (auto* node : nodesBeside(host)) node->powered = false;
  if (!host.up) return;
  mark("power loss " + host.name);
  endProcess(host);
}

void Sim::endProcess(Host& host) {
  host.settings.role == Role::agent ? workerTrouble() : trouble();
  links_.disconnect(host.machine, now_);
  for (auto* node : nodesBeside(host)) endNode(*node);
}

void Sim::endNode(Host& host) {
  host.up = false;
  ++host.lives;
  host.held.clear();
  host.freezeInStepUs = 0;
  endWrites(host);
  host.node.reset();
  loseCallers(host, 1.0);
}

void Sim::freeze(Host& host, Micros spanUs) {
  if (!host.up) return;
  mark("freeze " + host.name);
  for (auto* node : nodesBeside(host)) freezeNode(*node, spanUs);
}

void Sim::freezeNode(Host& host, Micros spanUs) {
  host.frozenUntilUs = now_ + spanUs;
  const int life = host.lives;
  after(spanUs, [this, &host, life] {
    if (!host.up || host.lives != life || now_ < host.frozenUntilUs) return;
    host.returnedUs = now_;
    auto held = std::move(host.held);
    host.held.clear();
    for (auto& act : held) act();
  });
}

std::vector<Address> Sim::drawSeeds() {
  std::vector<Address> drawn;
  for (const auto* replica : hosts(Role::replica))
    if (!replica->gone) drawn.push_back(replica->settings.peerAddress);
  std::shuffle(drawn.begin(), drawn.end(), random_);
  drawn.resize(std::min(drawn.size(), seeds_.size()));
  return drawn;
}

bool Sim::isLost(const Host& host) const {
  if (host.gone) return false;
  const Millis catchUpMs = plan.bounds.catchUpMs > 0 ? plan.bounds.catchUpMs : 4 * plan.bounds.leaseMs;
  const bool cutOff = std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& other) {
    return other->machine != host.machine && (isCut(host, *other) || isCut(*other, host));
  });
  return !host.up || host.diskBlocked || cutOff || now_ < host.frozenUntilUs ||
         now_ < host.returnedUs + catchUpMs * 1000;
}

void Sim::stopPolitely(Host& host) {
  trouble();
  if (!host.up) return;
  const int life = host.lives;
  for (auto* node : nodesBeside(host)) {
    if (host.up && host.lives == life) give(*node, PoliteStop{});
  }
}

void Sim::tick(Host& host, int life) {
  if (!host.up || host.lives != life) return;
  host.wakeUs = -1;
  if (now_ >= host.frozenUntilUs) give(host, Tick{});
  after(plan.tickUs, [this, &host, life] { tick(host, life); });
}

void Sim::wake(Host& host, Millis steadyMs) {
  constexpr Micros kShortestWakeUs = 100;
  const auto wakeUs = std::max(now_ + kShortestWakeUs, whenShows(host.clock, steadyMs));
  if (host.wakeUs >= 0 && host.wakeUs <= wakeUs) return;
  host.wakeUs = wakeUs;
  const int life = host.lives;
  at(wakeUs, [this, &host, life, wakeUs] {
    if (!host.up || host.lives != life || host.wakeUs != wakeUs) return;
    host.wakeUs = -1;
    if (now_ >= host.frozenUntilUs) give(host, Tick{});
  });
}

void Sim::give(Host& host, Event event) {
  if (!host.up) return;
  if (now_ < host.frozenUntilUs) {
    const int life = host.lives;
    constexpr std::size_t kMostHeld = 2000;
    if (host.held.size() < kMostHeld)
      host.held.push_back([this, &host, life, event = std::move(event)] {
        if (host.up && host.lives == life) give(host, event);
      });
    return;
  }
  const auto point = counting ? pointOf(host.settings.role, event) : std::string();
  const bool here =
      !point.empty() && ++points[point] > 0 && place && place->point == point && points[point] == place->nth;
  const auto struck = [&](Side side) {
    if (!here || place->side != side) return false;
    mark("place " + placeText(*place) + " " + host.name);
    const int life = host.lives;
    onPlace(host);
    return !host.up || host.lives != life;
  };
  if (struck(Side::before)) return;
  if (now_ < host.frozenUntilUs) return give(host, std::move(event));
  Outbox out;
  if (meter)
    metered(host, event, out);
  else
    daemon::nodeStep(*host.node, event, clock(host), out);
  if (struck(Side::unsent)) return;
  if (host.freezeInStepUs > 0) {
    freeze(host, std::exchange(host.freezeInStepUs, 0));
    host.held.push_back([this, &host, out = std::move(out)]() mutable { settle(host, std::move(out)); });
    return;
  }
  settle(host, std::move(out));
  struck(Side::sent);
}

std::string Sim::roleAt(const Host& host) const {
  const bool leading = host.up && host.node->scheduler && scheduler::leads(*host.node->scheduler, clock(host));
  return leading ? "leader" : std::string(roleName(host.settings.role));
}

void Sim::metered(Host& host, const Event& event, Outbox& out) {
  const auto role = roleAt(host);
  const auto* heard = std::get_if<Heard>(&event);
  const std::string kind = heard                                 ? std::string(messageName(heard->message))
                           : std::holds_alternative<Ask>(event)  ? "call " + std::get<Ask>(event).method
                           : std::holds_alternative<Tick>(event) ? "tick"
                                                                 : "synced";
  const auto before = host.node->scheduler ? host.node->scheduler->counts : scheduler::SchedulerCounts{};
  const auto fromNs = threadNs();
  daemon::nodeStep(*host.node, event, clock(host), out);
  const auto spanNs = meter->since(fromNs);
  auto& row = meter->rows[{role, kind}];
  ++row.received;
  row.stepNs += spanNs;
  row.mostStepNs = std::max(row.mostStepNs, spanNs);
  if (!host.node->scheduler) return;
  const auto& counts = host.node->scheduler->counts;
  if (counts.takeovers > before.takeovers)
    meter->takeovers.add(spanNs);
  else if (counts.epochs > before.epochs)
    meter->plans.add(spanNs);
  else if (counts.batches > before.batches)
    meter->batches.add(spanNs);
}

void Sim::settle(Host& host, Outbox&& out) {
  for (const auto& text : out.alarms) {
    mark(text);
    if (onAlarm) onAlarm(host, text);
  }
  if (out.wakeMs >= 0) wake(host, out.wakeMs);
  for (auto& persist : out.persists) host.unsynced.push_back(std::move(persist));
  if (!host.unsynced.empty()) sync(host);
  for (const auto& send : out.sends) carry(host, send);
  for (auto& answer : out.answers)
    reply(host, answer.requestId, {false, answer.status, answer.retryMs, std::move(answer.body)});
  for (const auto& forward : out.forwards) {
    auto text = host.askText.find(forward.requestId);
    auto to = byHttp_.find(forward.http);
    if (text == host.askText.end()) continue;
    auto onward = text->second;
    ++onward.hops;
    const auto requestId = forward.requestId;
    const int life = host.lives;
    auto back = [this, &host, life, requestId, method = onward.method](Reply got) {
      if (!host.up || host.lives != life) return;
      if (got.lost) {
        const auto& row = rowOf(method == "GET" ? Kind::noLeader : Kind::unknownOutcome);
        got = {false, row.status, plan.bounds.leaseMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"};
      }
      reply(host, requestId, std::move(got));
    };
    if (to == byHttp_.end() || isCut(host, *to->second) || isCut(*to->second, host)) {
      after(100000, [back] { back({true, 0, 0, {}}); });
      continue;
    }
    ask(*to->second, std::move(onward), std::move(back));
  }
  host.left = host.left || out.done;
  const auto& nodes = nodesBeside(host);
  if (out.done && std::all_of(nodes.begin(), nodes.end(), [](const Host* node) { return node->left; })) crash(host);
}

}  // namespace tulip::simulator
