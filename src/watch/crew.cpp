#include "watch/crew.hpp"

#include <algorithm>
#include <utility>

namespace tulip::watch {

using namespace signal;

namespace {

std::uint64_t mix(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ull;
  return hash;
}

std::string revisionBody(Revision revision) { return "{\"revision\":" + std::to_string(revision) + "}"; }

void judge(Proposal& proposal, const std::string& current) {
  proposal.value = current;
  proposal.changes = false;
  if (!proposal.edit) {
    if (current.empty()) proposal.value = proposal.fixedValue;
    return;
  }
  const auto& edit = *proposal.edit;
  auto stored = chart::readStored(current);
  for (const auto& [name, revision] : stored.transactions)
    if (!edit.name.empty() && name == edit.name) {
      proposal.status = 200;
      proposal.body = revisionBody(revision);
      proposal.revision = stored.revision;
      proposal.changes = true;
      return;
    }
  if (edit.expected && *edit.expected != stored.revision) {
    proposal.status = rowOf(Kind::raced).status;
    proposal.body = "{\"error\":\"raced\",\"expected\":" + std::to_string(*edit.expected) +
                    ",\"revision\":" + std::to_string(stored.revision) + "}";
    return;
  }
  Json patch = parseJson(edit.body);
  Json base = stored.text.empty() ? Json(json_object()) : parseJson(stored.text);
  Json next = edit.whole ? std::move(patch) : chart::mergePatch(base.get(), patch.get());
  chart::Chart checked;
  std::vector<chart::Fault> faults;
  if (!next || !chart::readChart(next.get(), checked, faults)) {
    proposal.status = rowOf(Kind::invalidChart).status;
    proposal.body = chart::faultsJson(Kind::invalidChart, faults);
    return;
  }
  stored.text = dumpJson(next.get());
  ++stored.revision;
  if (!edit.name.empty()) stored.transactions.emplace_back(edit.name, stored.revision);
  constexpr std::size_t kMostTransactions = 256;
  if (stored.transactions.size() > kMostTransactions) stored.transactions.erase(stored.transactions.begin());
  proposal.value = chart::writeStored(stored);
  proposal.changes = true;
  proposal.revision = stored.revision;
  proposal.status = 200;
  proposal.body = revisionBody(stored.revision);
}

void sendPhase(Crew& crew, Proposal& proposal, Now now, Outbox& out) {
  proposal.sentMs = now.steadyMs;
  for (const auto& seat : seatAddresses(crew)) {
    if (proposal.phase == Phase::prepare) out.send(seat, RegisterPrepare{crew.cohort.revision, proposal.key, proposal.ballot});
    if (proposal.phase == Phase::accept)
      out.send(seat, RegisterAccept{crew.cohort.revision, proposal.key, proposal.ballot, proposal.value});
    if (proposal.phase == Phase::learn) {
      out.send(seat, RegisterChosen{proposal.key, proposal.ballot, proposal.value});
      if (proposal.changes) out.send(seat, AckQuery{proposal.revision, proposal.query});
    }
  }
}

void restart(Crew& crew, Proposal& proposal, Now now, Outbox& out) {
  proposal.ballot = Ballot{++crew.ballotNumber, crew.id.value + "/" + crew.incarnation};
  proposal.phase = Phase::prepare;
  proposal.promises.clear();
  proposal.accepts.clear();
  proposal.retryAtMs = 0;
  ++proposal.attempts;
  sendPhase(crew, proposal, now, out);
}

void backOff(Crew& crew, Proposal& proposal, Now now) {
  if (proposal.retryAtMs) return;
  ++crew.contended;
  const Millis span = std::max<Millis>(1, crew.env.bounds.beatMs() / 8);
  const auto spread = mix(crew.id.value + std::to_string(proposal.ballot.number)) % (1 + std::min(proposal.attempts, 6));
  proposal.retryAtMs = now.steadyMs + span * static_cast<Millis>(1 + spread);
}

void finish(Proposal& proposal, Outbox& out) {
  if (proposal.transaction) out.answer(proposal.transaction, proposal.status, proposal.body);
  proposal.transaction = 0;
  proposal.phase = Phase::done;
}

void heardPromise(Crew& crew, const Address& from, const RegisterPromise& reply, Now now, Outbox& out) {
  crew.ballotNumber = std::max(crew.ballotNumber, reply.promised.number);
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::prepare || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(crew, proposal, now);
    const auto seats = seatAddresses(crew);
    if (std::find(seats.begin(), seats.end(), from) == seats.end()) return;
    proposal.promises[from] = reply;
    if (proposal.promises.size() < majority(seats.size())) return;
    const RegisterPromise* newest = nullptr;
    for (const auto& [seat, promise] : proposal.promises)
      if (!newest || newest->accepted < promise.accepted) newest = &promise;
    judge(proposal, newest->value);
    if (proposal.value.empty()) return finish(proposal, out);
    proposal.phase = Phase::accept;
    ++crew.proposed;
    return sendPhase(crew, proposal, now, out);
  }
}

void heardAccepted(Crew& crew, const Address& from, const RegisterAccepted& reply, Now now, Outbox& out) {
  crew.ballotNumber = std::max(crew.ballotNumber, reply.promised.number);
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::accept || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(crew, proposal, now);
    const auto seats = seatAddresses(crew);
    if (std::find(seats.begin(), seats.end(), from) == seats.end()) return;
    proposal.accepts.insert(from);
    if (proposal.accepts.size() < majority(seats.size())) return;
    ++crew.chosen;
    proposal.phase = Phase::learn;
    proposal.query = proposal.ballot.number;
    sendPhase(crew, proposal, now, out);
    if (!proposal.changes) finish(proposal, out);
    return;
  }
}

void heardAcks(Crew& crew, const Address& from, const AckState& reply, Now now, Outbox& out) {
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::learn || proposal.query != reply.query) continue;
    proposal.states[from] = reply;
    const auto seats = seatAddresses(crew);
    std::size_t learned = 0;
    bool allIn = true;
    for (const auto& seat : seats) {
      auto found = proposal.states.find(seat);
      const bool knows = found != proposal.states.end() && found->second.learned;
      learned += knows;
      allIn = allIn && knows && found->second.waiting.empty();
    }
    if (allIn) return finish(proposal, out);
    if (learned >= majority(seats.size()) && proposal.learnedMs < 0) proposal.learnedMs = now.steadyMs;
    return;
  }
}

}  // namespace

std::size_t majority(std::size_t count) { return count / 2 + 1; }

Crew makeCrew(const Env& env, const DaemonId& id, std::string incarnation) {
  Crew crew;
  crew.env = env;
  crew.id = id;
  crew.incarnation = std::move(incarnation);
  crew.home = mix(id.value) % 3;
  return crew;
}

bool sessionLive(const Crew& crew, Now now) { return now.steadyMs < crew.sessionUntilMs; }

Millis fleetNow(const Crew& crew, Now now) {
  if (crew.fleetAtMs < 0) return crew.fleetMs;
  return crew.fleetMs + std::max<Millis>(0, now.steadyMs - crew.fleetAtMs);
}

void raiseFleet(Crew& crew, Millis fleetMs, Now now) {
  if (crew.fleetAtMs < 0 || fleetMs > fleetNow(crew, now)) setFleet(crew, fleetMs, now);
}

void setFleet(Crew& crew, Millis fleetMs, Now now) {
  crew.fleetMs = fleetMs;
  crew.fleetAtMs = now.steadyMs;
}

std::vector<Address> seatAddresses(const Crew& crew) {
  std::vector<Address> all;
  for (const auto& seat : crew.cohort.seats) all.push_back(seat.signal);
  return all;
}

std::vector<Address> quayAddresses(const Crew& crew) {
  if (crew.env.role == Role::quay) return {crew.env.signal};
  auto all = seatAddresses(crew);
  for (const auto& seed : crew.env.seeds)
    if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
  return all;
}

void answerKind(Outbox& out, std::uint64_t transaction, Kind kind, const Bounds& bounds, std::string_view detail) {
  const auto& row = rowOf(kind);
  Json root(json_object());
  json_object_set_new(root.get(), "error", jsonText(row.name));
  json_object_set_new(root.get(), "meaning", jsonText(row.meaning));
  if (!detail.empty()) json_object_set_new(root.get(), "detail", jsonText(detail));
  out.answer(transaction, row.status, dumpJson(root.get()),
             static_cast<Millis>(row.retryTerms * static_cast<double>(bounds.termMs)));
}

void beatNow(Crew& crew, Now now, Outbox& out) {
  const auto quays = quayAddresses(crew);
  if (quays.empty()) return;
  crew.beatSentMs = now.steadyMs;
  Member me{crew.id,    crew.env.role, crew.env.cell, crew.env.signal, crew.env.http, crew.chartRevision,
            crew.ready, crew.leaving,  0,             {}};
  out.send(quays[crew.home % quays.size()], SessionBeat{std::move(me), ++crew.beat, now.steadyMs, crew.cohort.revision});
}

bool crewHeard(Crew& crew, const Heard& heard, Now now, Outbox& out) {
  if (const auto* grant = std::get_if<SessionGrant>(&heard.message)) {
    if (grant->sentMs > now.steadyMs || grant->sentMs + grant->termMs <= now.steadyMs) return true;
    const bool foreign = grant->cohort.revision == crew.cohort.revision && grant->cohort != crew.cohort;
    if (crew.env.role != Role::quay && (foreign || grant->cohort.revision < crew.cohort.revision)) {
      if (!std::exchange(crew.strange, true)) out.alarms.push_back("a quay of another cohort than the one known here is not listened to");
      return true;
    }
    crew.strange = false;
    crew.grantedMs = now.steadyMs;
    crew.sessionUntilMs = std::max(crew.sessionUntilMs, grant->sentMs + grant->termMs);
    crew.leader = grant->leader;
    crew.cohort = grant->cohort;
    crew.members = grant->members;
    raiseFleet(crew, grant->fleetMs, now);
    if (grant->chartRevision > crew.chartRevision && !grant->chartText.empty()) {
      auto made = std::make_shared<chart::Chart>();
      std::vector<chart::Fault> faults;
      if (!chart::readChartText(grant->chartText, *made, faults)) out.alarms.push_back("a confirmed configuration does not read here");
      crew.chart = made;
      crew.chartText = grant->chartText;
      crew.chartRevision = grant->chartRevision;
      beatNow(crew, now, out);
    }
    return true;
  }
  if (const auto* promise = std::get_if<RegisterPromise>(&heard.message)) return heardPromise(crew, heard.from, *promise, now, out), true;
  if (const auto* accepted = std::get_if<RegisterAccepted>(&heard.message)) return heardAccepted(crew, heard.from, *accepted, now, out), true;
  if (const auto* acks = std::get_if<AckState>(&heard.message)) return heardAcks(crew, heard.from, *acks, now, out), true;
  return false;
}

void crewTick(Crew& crew, Now now, Outbox& out) {
  const auto& bounds = crew.env.bounds;
  if (now.steadyMs - crew.beatSentMs >= bounds.beatMs()) {
    if (crew.env.role != Role::quay && now.steadyMs - crew.grantedMs > bounds.termMs / 2) {
      ++crew.home;
      crew.grantedMs = now.steadyMs - bounds.termMs / 4;
    }
    beatNow(crew, now, out);
  }
  for (auto& proposal : crew.proposals) {
    if (proposal.phase == Phase::done) continue;
    if (proposal.cutoffMs && now.steadyMs >= proposal.cutoffMs) {
      const bool maybe = proposal.phase != Phase::prepare || proposal.attempts > 1;
      if (proposal.transaction)
        answerKind(out, proposal.transaction, maybe ? Kind::unknownOutcome : Kind::noMajority, bounds);
      proposal.transaction = 0;
      proposal.phase = Phase::done;
      continue;
    }
    if (proposal.phase == Phase::learn && proposal.learnedMs >= 0 && now.steadyMs - proposal.learnedMs >= bounds.lapseMs()) {
      finish(proposal, out);
      continue;
    }
    if (proposal.retryAtMs && now.steadyMs >= proposal.retryAtMs) restart(crew, proposal, now, out);
    else if (now.steadyMs - proposal.sentMs >= std::max<Millis>(5, bounds.beatMs() / (proposal.phase == Phase::learn ? 10 : 2)))
      sendPhase(crew, proposal, now, out);
  }
  std::erase_if(crew.proposals, [](const Proposal& proposal) { return proposal.phase == Phase::done; });
}

bool proposing(const Crew& crew, std::string_view key) {
  return std::any_of(crew.proposals.begin(), crew.proposals.end(), [&](const Proposal& p) { return p.key == key; });
}

void proposeChart(Crew& crew, std::uint64_t transaction, Edit edit, Millis cutoffMs, Now now, Outbox& out) {
  constexpr std::size_t kMostProposals = 64;
  if (crew.cohort.seats.empty()) return answerKind(out, transaction, Kind::noMajority, crew.env.bounds);
  if (crew.proposals.size() >= kMostProposals) return answerKind(out, transaction, Kind::overloaded, crew.env.bounds);
  if (edit.name.empty()) edit.name = crew.id.value + "/" + crew.incarnation + "/" + std::to_string(crew.ballotNumber + 1);
  Proposal proposal;
  proposal.transaction = transaction;
  proposal.key = kChartKey;
  proposal.edit = std::move(edit);
  proposal.startedMs = now.steadyMs;
  proposal.cutoffMs = now.steadyMs + cutoffMs;
  crew.proposals.push_back(std::move(proposal));
  restart(crew, crew.proposals.back(), now, out);
}

void proposeFixed(Crew& crew, std::string key, std::string value, Now now, Outbox& out) {
  Proposal proposal;
  proposal.key = std::move(key);
  proposal.fixedValue = std::move(value);
  proposal.startedMs = now.steadyMs;
  proposal.cutoffMs = now.steadyMs + 4 * crew.env.bounds.termMs;
  crew.proposals.push_back(std::move(proposal));
  restart(crew, crew.proposals.back(), now, out);
}

}  // namespace tulip::watch
