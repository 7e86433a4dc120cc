#include "watch/crew.hpp"

#include <algorithm>
#include <utility>

namespace tulip::watch {

using namespace signal;

namespace {

Millis resendMs(Phase phase, const Bounds& bounds) {
  return phase == Phase::learn ? bounds.beatMs() / 5 : phase == Phase::accept ? bounds.beatMs() : bounds.beatMs() / 2;
}

std::string revisionBody(Revision revision) { return "{\"revision\":" + std::to_string(revision) + "}"; }

void deny(Proposal& proposal, Kind kind, std::string body) {
  proposal.kind = kind;
  proposal.status = rowOf(kind).status;
  proposal.body = std::move(body);
}

void replaceEntries(json_t* base, const char* section, const json_t* entries) {
  json_t* into = json_object_get(base, section);
  if (!json_is_object(into)) {
    into = json_object();
    json_object_set_new(base, section, into);
  }
  const char* name;
  json_t* entry;
  json_object_foreach(const_cast<json_t*>(entries), name, entry) {
    if (json_is_null(entry)) {
      json_object_del(into, name);
      continue;
    }
    json_t* place = json_incref(json_object_get(json_object_get(into, name), "place"));
    json_t* next = json_copy(entry);
    if (place) json_object_set_new(next, "place", place);
    json_object_set_new(into, name, next);
  }
}

// The configuration that the edit makes of base, which is used up; null when the edit's body is no object.
Json edited(const Edit& edit, Json base) {
  Json body = parseJson(edit.body);
  if (!json_is_object(body.get())) return nullptr;
  if (edit.whole && !edit.sections) {
    const json_t* edition = json_object_get(base.get(), "edition");
    if (edition && !json_object_get(body.get(), "edition")) json_object_set(body.get(), "edition", const_cast<json_t*>(edition));
    base = std::move(body);
  } else if (!edit.sections) {
    chart::mergeInto(base.get(), body.get());
  } else {
    const char* section;
    json_t* part;
    json_object_foreach(body.get(), section, part) {
      const std::string_view name = section;
      if (json_is_null(part)) json_object_del(base.get(), section);
      else if (edit.whole || !json_is_object(part)) json_object_set(base.get(), section, part);
      else if (name == "pendings" || name == "pools") replaceEntries(base.get(), section, part);
      else {
        Json one(json_object());
        json_object_set(one.get(), section, part);
        chart::mergeInto(base.get(), one.get());
      }
    }
  }
  if (edit.edition > 0) json_object_set_new(base.get(), "edition", json_integer(static_cast<json_int_t>(edit.edition)));
  return base;
}

void judgeEdit(Proposal& proposal, const std::string& current) {
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
  if (edit.expected && *edit.expected != stored.revision)
    return deny(proposal, Kind::raced,
                "{\"error\":\"raced\",\"expected\":" + std::to_string(*edit.expected) + ",\"revision\":" + std::to_string(stored.revision) + "}");
  Json base = stored.text.empty() ? Json(json_object()) : parseJson(stored.text);
  const auto edition = static_cast<Revision>(numberAt(base.get(), "edition"));
  if (edit.basedOn && *edit.basedOn != edition)
    return deny(proposal, Kind::raced, "{\"error\":\"raced\",\"basedOn\":" + std::to_string(*edit.basedOn) + ",\"edition\":" + std::to_string(edition) + "}");
  Json next = edited(edit, std::move(base));
  chart::Chart checked;
  std::vector<chart::Fault> faults;
  bool good = next && chart::readChart(next.get(), checked, faults);
  if (good && (checked.edition < edition || (edit.edition > 0 && checked.edition == edition))) {
    faults.push_back({"/edition", "above the current one, " + std::to_string(edition)});
    good = false;
  }
  if (!good) return deny(proposal, Kind::invalidChart, chart::faultsJson(Kind::invalidChart, faults));
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

void judge(Proposal& proposal, const Ballot& ballot, const std::string& current) {
  if (proposal.judgedOn == ballot) return;
  proposal.judgedOn = ballot;
  proposal.value = current;
  proposal.changes = false;
  proposal.kind = Kind::ok;
  if (proposal.edit) judgeEdit(proposal, current);
  else if (current.empty()) proposal.value = proposal.fixedValue;
}

void sendPhase(Crew& crew, Proposal& proposal, Now now, Outbox& out) {
  proposal.sentMs = now.steadyMs;
  out.wakeBy(now.steadyMs + resendMs(proposal.phase, crew.env.bounds));
  const bool chart = proposal.key == kChartKey;
  for (const auto& seat : seatAddresses(crew)) {
    if (proposal.phase == Phase::prepare && !proposal.promises.contains(seat))
      out.send(seat, RegisterPrepare{crew.cohort.revision, proposal.key, proposal.ballot, chart ? crew.knownBallot : Ballot{}});
    if (proposal.phase == Phase::accept && !proposal.accepts.contains(seat))
      out.send(seat, RegisterAccept{crew.cohort.revision, proposal.key, proposal.ballot, proposal.value});
    if (proposal.phase != Phase::learn) continue;
    const auto state = proposal.states.find(seat);
    const bool learned = state != proposal.states.end() && state->second.learned;
    if (!learned) {
      auto [told, first] = proposal.toldMs.emplace(seat, now.steadyMs);
      if (first) out.send(seat, RegisterChosen{proposal.key, proposal.ballot, proposal.accepts.contains(seat) ? std::string() : proposal.value});
      else if (now.steadyMs - told->second >= crew.env.bounds.beatMs()) {
        told->second = now.steadyMs;
        out.send(seat, RegisterChosen{proposal.key, proposal.ballot, proposal.value});
      }
    }
    if (proposal.changes && !(learned && state->second.waiting.empty())) out.send(seat, AckQuery{proposal.revision, proposal.query});
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

// Proposals of one daemon for the same register go one after another: side by side they would outbid each other.
void startQueued(Crew& crew, Now now, Outbox& out) {
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::queued) continue;
    const bool busy = std::any_of(crew.proposals.begin(), crew.proposals.end(), [&](const Proposal& other) {
      return other.key == proposal.key && (other.phase == Phase::prepare || other.phase == Phase::accept);
    });
    if (!busy) restart(crew, proposal, now, out);
  }
}

void backOff(Crew& crew, Proposal& proposal, Now now, Outbox& out) {
  if (proposal.retryAtMs) return;
  ++crew.contended;
  const Millis span = std::max<Millis>(1, crew.env.bounds.beatMs() / 8);
  const auto spread = mix(crew.id.value + std::to_string(proposal.ballot.number)) % (1 + std::min(proposal.attempts, 6));
  proposal.retryAtMs = now.steadyMs + span * static_cast<Millis>(1 + spread);
  out.wakeBy(proposal.retryAtMs);
}

void finish(Proposal& proposal, Outbox& out) {
  if (proposal.transaction) out.answer(proposal.transaction, proposal.status, proposal.body, 0, proposal.kind);
  proposal.transaction = 0;
  proposal.phase = Phase::done;
}

void heardPromise(Crew& crew, const Address& from, const RegisterPromise& reply, Now now, Outbox& out) {
  crew.ballotNumber = std::max(crew.ballotNumber, reply.promised.number);
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::prepare || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(crew, proposal, now, out);
    const auto seats = seatAddresses(crew);
    if (std::find(seats.begin(), seats.end(), from) == seats.end()) return;
    proposal.promises[from] = reply;
    if (proposal.promises.size() < majority(seats.size())) return;
    const RegisterPromise* newest = nullptr;
    for (const auto& [seat, promise] : proposal.promises)
      if (!newest || newest->accepted < promise.accepted) newest = &promise;
    const bool chart = proposal.key == kChartKey;
    if (chart && newest->accepted != Ballot{} && newest->accepted != crew.knownBallot) {
      crew.knownBallot = newest->accepted;
      crew.knownValue = newest->value;
    }
    judge(proposal, newest->accepted, chart && newest->accepted != Ballot{} ? crew.knownValue : newest->value);
    if (proposal.value.empty()) return finish(proposal, out);
    if (chart) {
      crew.knownBallot = proposal.ballot;
      crew.knownValue = proposal.value;
    }
    proposal.phase = Phase::accept;
    ++crew.proposed;
    return sendPhase(crew, proposal, now, out);
  }
}

void heardAccepted(Crew& crew, const Address& from, const RegisterAccepted& reply, Now now, Outbox& out) {
  crew.ballotNumber = std::max(crew.ballotNumber, reply.promised.number);
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::accept || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(crew, proposal, now, out);
    const auto seats = seatAddresses(crew);
    if (std::find(seats.begin(), seats.end(), from) == seats.end()) return;
    proposal.accepts.insert(from);
    if (proposal.accepts.size() < majority(seats.size())) return;
    ++crew.chosen;
    proposal.phase = Phase::learn;
    proposal.retryAtMs = 0;
    proposal.query = proposal.ballot.number;
    sendPhase(crew, proposal, now, out);
    if (!proposal.changes) finish(proposal, out);
    return startQueued(crew, now, out);
  }
}

void heardAcks(Crew& crew, const Address& from, const AckState& reply, Now now, Outbox& out) {
  for (auto& proposal : crew.proposals) {
    if (proposal.phase != Phase::learn || proposal.query != reply.query) continue;
    proposal.states[from] = reply;
    const auto& seats = crew.cohort.seats;
    const auto needed = majority(seats.size());
    std::size_t learned = 0;
    std::map<DaemonId, std::size_t> silent;
    for (const auto& seat : seats) {
      auto found = proposal.states.find(seat.signal);
      if (found == proposal.states.end() || !found->second.learned) continue;
      ++learned;
      for (const auto& id : found->second.silent) ++silent[id];
    }
    // A seat that this many others, all of whom have learned, have not heard for so long holds no session short of the
    // change, and can't stand again without having learned from one of them.
    const auto enough = seats.size() - needed + 1;
    const bool allIn = std::all_of(seats.begin(), seats.end(), [&](const Seat& seat) {
      auto found = proposal.states.find(seat.signal);
      if (found != proposal.states.end() && found->second.learned && found->second.waiting.empty()) return true;
      auto by = silent.find(seat.id);
      return by != silent.end() && by->second >= enough;
    });
    if (allIn && learned >= needed) return finish(proposal, out);
    if (learned >= needed && proposal.learnedMs < 0) proposal.learnedMs = now.steadyMs;
    return;
  }
}

void adoptCohort(Crew& crew, const Cohort& cohort, Now now, Outbox& out) {
  if (crew.cohort == cohort) return;
  crew.cohort = cohort;
  for (auto& proposal : crew.proposals) {
    proposal.promises.clear();
    proposal.accepts.clear();
    proposal.states.clear();
    if (proposal.phase != Phase::queued && proposal.phase != Phase::done && !proposal.retryAtMs) sendPhase(crew, proposal, now, out);
  }
}

void hearReferral(Crew& crew, const Address& from, const Referral& referral) {
  if (crew.env.role == Role::quay || from != crew.home || referral.quays.empty()) return;
  crew.referred = referral.quays;
  crew.home = referral.quays[(mix(crew.id.view()) + crew.beat) % referral.quays.size()];
}

// Whether the daemon has the configuration that the grant names, after taking what the grant carries of it.
bool takeChart(Crew& crew, const SessionGrant& grant, Now now, Outbox& out) {
  if (grant.chartRevision <= crew.chartRevision) return true;
  std::string text = grant.chartText;
  if (grant.chartBase > 0) {
    if (grant.chartBase != crew.chartRevision) return false;
    text = chart::applyDelta(crew.chartText, grant.chartText);
  }
  if (text.empty()) return false;
  auto made = std::make_shared<chart::Chart>();
  std::vector<chart::Fault> faults;
  if (!chart::readChartText(text, *made, faults)) out.alarms.push_back("a confirmed configuration does not read here");
  crew.chart = made;
  crew.chartText = std::move(text);
  crew.chartRevision = grant.chartRevision;
  beatNow(crew, now, out);
  return true;
}

}  // namespace

std::uint64_t mix(std::string_view text, std::uint64_t hash) {
  for (unsigned char c : text) hash = (hash ^ c) * 1099511628211ull;
  return hash;
}

std::uint64_t digestOf(const std::vector<Member>& members, Millis termMs, bool withAcked) {
  std::uint64_t digest = mix("members");
  for (const auto& member : members) {
    for (const std::string_view text : {member.id.view(), member.cell.view(), member.signal.view(), member.http.view()}) digest = mix("/", mix(text, digest));
    const char flags[] = {static_cast<char>(member.role), member.ready ? 'r' : '-', member.leaving ? 'l' : '-', member.ageMs > termMs ? 's' : '-'};
    digest = mix({flags, sizeof flags}, digest);
    if (withAcked) digest = mix(std::to_string(member.acked), digest);
  }
  return digest ? digest : 1;
}

std::size_t majority(std::size_t count) { return count / 2 + 1; }

Crew makeCrew(const Env& env, const DaemonId& id, std::string incarnation) {
  Crew crew;
  crew.env = env;
  crew.id = id;
  crew.incarnation = std::move(incarnation);
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
  for (const auto* more : {&crew.env.seeds, &crew.referred})
    for (const auto& address : *more)
      if (std::find(all.begin(), all.end(), address) == all.end()) all.push_back(address);
  return all;
}

void answerKind(Outbox& out, std::uint64_t transaction, Kind kind, const Bounds& bounds, std::string_view detail) {
  const auto& row = rowOf(kind);
  Json root(json_object());
  json_object_set_new(root.get(), "error", jsonText(row.name));
  json_object_set_new(root.get(), "meaning", jsonText(row.meaning));
  if (!detail.empty()) json_object_set_new(root.get(), "detail", jsonText(detail));
  out.answer(transaction, row.status, dumpJson(root.get()),
             static_cast<Millis>(row.retryTerms * static_cast<double>(bounds.termMs)), kind);
}

void beatNow(Crew& crew, Now now, Outbox& out) {
  const auto quays = quayAddresses(crew);
  if (quays.empty()) return;
  if (std::find(quays.begin(), quays.end(), crew.home) == quays.end()) {
    const auto first = crew.cohort.seats.empty() ? quays.size() : crew.cohort.seats.size();
    crew.home = quays[mix(crew.id.view()) % std::min(first, quays.size())];
  }
  crew.beatSentMs = now.steadyMs;
  Member me{crew.id,    crew.env.role, crew.env.cell, crew.env.signal, crew.env.http, crew.chartRevision,
            crew.ready, crew.leaving,  0,             {}};
  out.send(crew.home, SessionBeat{std::move(me), ++crew.beat, now.steadyMs, crew.cohort.revision, crew.membersDigest});
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
    if (!takeChart(crew, *grant, now, out)) return true;
    crew.sessionUntilMs = std::max(crew.sessionUntilMs, grant->sentMs + grant->termMs);
    crew.leader = grant->leader;
    adoptCohort(crew, grant->cohort, now, out);
    if (grant->membersDigest != 0 && grant->membersDigest != crew.membersDigest) {
      crew.members = grant->members;
      crew.membersDigest = grant->membersDigest;
    }
    raiseFleet(crew, grant->fleetMs, now);
    return true;
  }
  if (const auto* referral = std::get_if<Referral>(&heard.message)) return hearReferral(crew, heard.from, *referral), true;
  if (const auto* promise = std::get_if<RegisterPromise>(&heard.message)) return heardPromise(crew, heard.from, *promise, now, out), true;
  if (const auto* accepted = std::get_if<RegisterAccepted>(&heard.message)) return heardAccepted(crew, heard.from, *accepted, now, out), true;
  if (const auto* acks = std::get_if<AckState>(&heard.message)) return heardAcks(crew, heard.from, *acks, now, out), true;
  return false;
}

void crewTick(Crew& crew, Now now, Outbox& out) {
  const auto& bounds = crew.env.bounds;
  const bool sessionless = crew.env.role == Role::quay && crew.env.dataFolder.empty();
  if (!sessionless && now.steadyMs - crew.beatSentMs >= bounds.beatMs()) {
    if (crew.env.role != Role::quay && now.steadyMs - crew.grantedMs > bounds.termMs / 2) {
      const auto quays = quayAddresses(crew);
      const auto at = std::find(quays.begin(), quays.end(), crew.home);
      if (at != quays.end()) crew.home = at + 1 == quays.end() ? quays.front() : *(at + 1);
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
    if (proposal.phase == Phase::queued) continue;
    if (proposal.retryAtMs && now.steadyMs >= proposal.retryAtMs) restart(crew, proposal, now, out);
    else if (!proposal.retryAtMs && now.steadyMs - proposal.sentMs >= std::max<Millis>(5, resendMs(proposal.phase, bounds)))
      sendPhase(crew, proposal, now, out);
  }
  startQueued(crew, now, out);
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
  startQueued(crew, now, out);
}

void proposeFixed(Crew& crew, std::string key, std::string value, Now now, Outbox& out) {
  Proposal proposal;
  proposal.key = std::move(key);
  proposal.fixedValue = std::move(value);
  proposal.startedMs = now.steadyMs;
  proposal.cutoffMs = now.steadyMs + 4 * crew.env.bounds.termMs;
  crew.proposals.push_back(std::move(proposal));
  startQueued(crew, now, out);
}

}  // namespace tulip::watch
