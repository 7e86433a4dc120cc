#include "watch/quay.hpp"

#include <algorithm>
#include <utility>

namespace tulip::watch {

using namespace signal;

namespace {

Bounds const& bounds(const QuayState& quay) { return quay.crew.env.bounds; }
const Address& self(const QuayState& quay) { return quay.crew.env.signal; }

bool mayVote(const QuayState& quay) { return quay.image.voting && !ailing(quay); }

bool seated(const Cohort& cohort, const DaemonId& id) {
  return std::any_of(cohort.seats.begin(), cohort.seats.end(), [&](const Seat& seat) { return seat.id == id; });
}

void persist(QuayState& quay, std::vector<DiskEntry> entries, std::vector<Send> after, Outbox& out) {
  for (const auto& entry : entries) hold::apply(quay.image, entry);
  if (entries.empty()) {
    for (auto& send : after) out.sends.push_back(std::move(send));
    return;
  }
  quay.waiting[++quay.ticket] = {quay.stepMs, std::move(after), 0};
  out.persists.push_back({quay.ticket, std::move(entries)});
}

std::string nextCohortKey(const QuayState& quay) { return "cohort/" + std::to_string(quay.image.cohort.revision + 1); }

// ROLE-NAME of a daemon with a name; empty for one without.
std::string_view hostOf(std::string_view id) {
  id = id.substr(0, id.find('/'));
  const auto life = id.rfind('-');
  if (life == std::string_view::npos || id.substr(0, life).find('-') == std::string_view::npos) return {};
  return id.substr(0, life);
}

// Whoever was promised the jobs last is the only one whose lease can stand here; a later life of the same daemon says that it is over.
void endLeaseOfEarlierLife(QuayState& quay, const DaemonId& heard, Now now) {
  const std::string_view owner = quay.image.rangePromised.owner;
  const auto host = hostOf(owner);
  if (host.empty() || hostOf(heard.view()) != host || owner.substr(0, owner.find('/')) == heard.view()) return;
  quay.leaseUntilMs = std::min(quay.leaseUntilMs, now.steadyMs);
}

bool leaseLive(const QuayState& quay, Now now) { return now.steadyMs < quay.leaseUntilMs; }

const Cohort& knownCohort(const QuayState& quay) { return quay.image.empty() ? quay.known : quay.image.cohort; }

std::vector<Member> allMembers(const QuayState& quay, Now now) {
  std::map<DaemonId, Member> all;
  auto put = [&](Member member, Millis ageMs, const DaemonId& home) {
    if (ageMs > 4 * bounds(quay).termMs) return;
    member.ageMs = ageMs;
    member.home = home;
    auto [slot, fresh] = all.emplace(member.id, member);
    if (!fresh && slot->second.ageMs > ageMs) slot->second = member;
  };
  for (const auto& [id, row] : quay.sessions) put(row.member, now.steadyMs - row.heardMs, quay.image.id);
  for (const auto& [address, other] : quay.others)
    for (const auto& member : other.sessions) put(member, member.ageMs + now.steadyMs - other.heardMs, other.last.seat.id);
  std::vector<Member> list;
  for (auto& [id, member] : all) list.push_back(std::move(member));
  return list;
}

std::vector<Member> ownSessions(const QuayState& quay, Now now) {
  std::vector<Member> list;
  for (const auto& [id, row] : quay.sessions) {
    if (now.steadyMs - row.heardMs > 2 * bounds(quay).termMs) continue;
    list.push_back(row.member);
    list.back().ageMs = now.steadyMs - row.heardMs;
  }
  return list;
}

void gatherMembers(QuayState& quay, Now now) {
  quay.members = allMembers(quay, now);
  quay.membersDigest = digestOf(quay.members, bounds(quay).termMs);
  quay.rosterDigest = digestOf(quay.members, bounds(quay).termMs, false);
}

// The delta from a text that the daemon has, or the whole.
void putChart(QuayState& quay, SessionRow& row, SessionGrant& grant) {
  for (const auto& [revision, text] : quay.olderTexts) {
    if (revision != row.member.acked) continue;
    auto [delta, made] = quay.deltas.try_emplace(revision);
    if (made) delta->second = chart::makeDelta(text, quay.learned.text);
    if (delta->second.empty()) break;
    grant.chartBase = revision;
    grant.chartText = delta->second;
    return;
  }
  grant.chartText = quay.learned.text;
}

SessionGrant makeGrant(QuayState& quay, SessionRow& row, Now now) {
  const auto termMs = bounds(quay).termMs;
  SessionGrant grant;
  grant.beat = row.beat;
  grant.sentMs = row.sentMs;
  grant.termMs = termMs;
  grant.chartRevision = quay.learned.revision;
  // A daemon takes no session from a grant of a revision that it lacks, so what was just sent need not come again.
  const bool sent = row.textRevision == quay.learned.revision && now.steadyMs - row.textSentMs < termMs;
  if (row.member.acked < quay.learned.revision && !sent) {
    putChart(quay, row, grant);
    row.textRevision = quay.learned.revision;
    row.textSentMs = now.steadyMs;
  }
  if (now.steadyMs < quay.hintUntilMs) grant.leader = quay.leader;
  grant.cohort = quay.image.cohort;
  const bool tender = row.member.role == Role::tender;
  const Millis pauseMs = tender ? 2 * termMs : termMs / 4;
  // A new configuration changes what every member has acknowledged; that alone is not told to every tender.
  const auto& digest = tender ? quay.rosterDigest : quay.membersDigest;
  if (row.membersDigest == 0 || (row.membersDigest != digest && now.steadyMs - row.membersSentMs >= pauseMs)) {
    if (quay.members.empty()) gatherMembers(quay, now);
    grant.members = quay.members;
    grant.membersDigest = digest;
    row.membersSentMs = now.steadyMs;
  }
  grant.fleetMs = fleetNow(quay.crew, now);
  return grant;
}

void learnChart(QuayState& quay, const Ballot& ballot, const std::string& value, Now now, Outbox& out) {
  if (value.empty() || ballot <= quay.learnedBallot) return;
  auto stored = chart::readStored(value);
  if (stored.revision < quay.learned.revision) return;
  const bool newer = stored.revision > quay.learned.revision;
  if (newer) {
    constexpr std::size_t kOlderTexts = 3;
    if (quay.learned.revision > 0) quay.olderTexts.emplace_back(quay.learned.revision, std::move(quay.learned.text));
    if (quay.olderTexts.size() > kOlderTexts) quay.olderTexts.erase(quay.olderTexts.begin());
    quay.deltas.clear();
  }
  quay.learnedBallot = ballot;
  quay.learnedValue = value;
  quay.learned = std::move(stored);
  quay.learnedMs = now.steadyMs;
  if (quay.image.learned < ballot && seated(quay.image.cohort, quay.image.id)) {
    persist(quay, {hold::entry::learned(ballot)}, {}, out);
    quay.waiting[quay.ticket].learned = quay.learned.revision;
  }
  quay.chartKnown = quay.chartKnown || !(ballot < quay.image.learned);
  if (!newer || !standing(quay, now)) return;
  for (auto& [id, row] : quay.sessions)
    if (now.steadyMs - row.heardMs <= bounds(quay).termMs) out.send(row.member.signal, makeGrant(quay, row, now));
}

void refer(const QuayState& quay, const Address& to, Outbox& out) {
  Referral referral;
  for (const auto& seat : knownCohort(quay).seats)
    if (seat.signal != self(quay)) referral.quays.push_back(seat.signal);
  if (!referral.quays.empty()) out.send(to, std::move(referral));
}

void onSessionBeat(QuayState& quay, const Heard& heard, const SessionBeat& beat, Now now, Outbox& out) {
  endLeaseOfEarlierLife(quay, beat.me.id, now);
  if (!standing(quay, now) || !quay.chartKnown || !mayVote(quay) || quay.sealed) {
    if (quay.image.empty() && beat.me.role != Role::quay && beat.cohort > 0) {
      quay.remembered = std::max(quay.remembered, beat.cohort);
      quay.rememberedMs = now.steadyMs;
    }
    ++quay.grantsDenied;
    if (heard.from != self(quay) && !quay.sealed) refer(quay, heard.from, out);
    return;
  }
  ++quay.grants;
  auto [found, fresh] = quay.sessions.try_emplace(beat.me.id);
  auto& row = found->second;
  if (beat.me.acked < row.member.acked) row.textSentMs = -1000000;
  row.member = beat.me;
  row.heardMs = now.steadyMs;
  row.beat = beat.beat;
  row.sentMs = beat.sentMs;
  row.membersDigest = beat.membersDigest;
  if (fresh) gatherMembers(quay, now);
  out.send(heard.from, makeGrant(quay, row, now));
}

QuayBeat makeQuayBeat(const QuayState& quay, Now now) {
  QuayBeat beat;
  beat.seat = {quay.image.id, self(quay)};
  beat.seeds = quay.crew.env.seeds;
  beat.empty = quay.image.empty();
  beat.ailing = ailing(quay);
  if (now.steadyMs - quay.rememberedMs < 4 * bounds(quay).termMs) beat.remembered = quay.remembered;
  beat.cohort = knownCohort(quay);
  beat.sentMs = now.steadyMs;
  beat.chartBallot = quay.learnedBallot;
  if (leaseLive(quay, now)) {
    beat.leader = quay.leader;
    beat.leaseLeftMs = quay.leaseUntilMs - now.steadyMs;
  }
  beat.fleetMs = fleetNow(quay.crew, now);
  beat.cell = quay.crew.env.cell;
  beat.diskless = quay.diskless;
  beat.voting = mayVote(quay);
  beat.firstBoot = quay.crew.env.firstBoot;
  beat.joined = quay.joined;
  if (!quay.diskless) {
    beat.sessions = ownSessions(quay, now);
    beat.sessionsDigest = digestOf(beat.sessions, bounds(quay).termMs);
  }
  return beat;
}

// Others stand by this echo. So none is given by a quay that may have forgotten what it had learned, that has no vote in
// the cohort yet, or that has voted for the next one.
bool mayEcho(const QuayState& quay) {
  if (quay.image.empty() || !seated(quay.image.cohort, quay.image.id)) return true;
  return quay.image.voting && !quay.sealed && !(quay.learnedBallot < quay.image.learned);
}

void sendQuayBeat(QuayState& quay, const Address& target, QuayBeat beat, Now now, Outbox& out) {
  beat.echoMs = -1000000;
  if (auto found = quay.others.find(target); found != quay.others.end()) {
    auto& other = found->second;
    other.repliedMs = now.steadyMs;
    beat.echoDigest = other.sessionsDigest;
    beat.sameSessions = beat.sessionsDigest != 0 && other.last.echoDigest == beat.sessionsDigest;
    // No echo lets a quay stand that was not given what is chosen: it comes with the value, or after the quay has it.
    const bool behind = other.last.chartBallot < quay.learnedBallot && !other.last.diskless;
    const bool give = behind && now.steadyMs - quay.learnedMs >= bounds(quay).beatMs();
    if (give) beat.chartValue = quay.learnedValue;
    if (mayEcho(quay) && (!behind || give)) beat.echoMs = other.last.sentMs;
    if (other.last.diskless) beat.sameSessions = true;
  }
  if (beat.sameSessions) beat.sessions.clear();
  out.send(target, std::move(beat));
}

void sendQuayBeats(QuayState& quay, Now now, Outbox& out) {
  quay.beatSentMs = now.steadyMs;
  const auto& cohort = knownCohort(quay);
  std::set<Address> targets;
  for (const auto& seat : cohort.seats) targets.insert(seat.signal);
  for (const auto& seat : quay.image.joined.cohort.seats) targets.insert(seat.signal);
  const bool seeds = cohort.seats.empty() || now.steadyMs - quay.seedsMs >= bounds(quay).termMs;
  if (seeds) {
    quay.seedsMs = now.steadyMs;
    targets.insert(quay.crew.env.seeds.begin(), quay.crew.env.seeds.end());
  }
  if (!quay.diskless || cohort.seats.empty())
    for (const auto& [address, other] : quay.others)
      if (!other.last.diskless && now.steadyMs - other.heardMs < 4 * bounds(quay).termMs) targets.insert(address);
  targets.erase(self(quay));
  const auto beat = makeQuayBeat(quay, now);
  for (const auto& target : targets) sendQuayBeat(quay, target, beat, now, out);
}

Millis beatPauseMs(const QuayState& quay) {
  return quay.diskless && !quay.known.seats.empty() ? bounds(quay).termMs : bounds(quay).beatMs();
}

void askCatchUp(QuayState& quay, Now now, Outbox& out) {
  if (quay.image.empty() || quay.image.voting || !seated(quay.image.cohort, quay.image.id)) return;
  if (now.steadyMs - quay.askedMs < bounds(quay).termMs / 2) return;
  quay.askedMs = now.steadyMs;
  for (const auto& seat : quay.image.cohort.seats)
    if (seat.id != quay.image.id && !quay.catchUp.contains(seat.id)) out.send(seat.signal, CatchUpAsk{quay.image.cohort.revision, quay.image.id});
}

void installCohort(QuayState& quay, const Cohort& cohort, Now now, Outbox& out) {
  if (cohort.revision <= quay.image.cohort.revision) return;
  const bool keeps = seated(cohort, quay.image.id);
  const bool voted = quay.image.voting && seated(quay.image.cohort, quay.image.id);
  std::vector<DiskEntry> writes{hold::entry::cohort(cohort)};
  const bool first = quay.image.empty() && cohort.revision == 1 && keeps;
  const bool votes = keeps && (first || (voted && cohort.revision == quay.image.cohort.revision + 1));
  writes.push_back(hold::entry::voting(votes));
  for (const auto& seat : quay.image.cohort.seats) {
    if (seat.id == quay.image.id || seated(cohort, seat.id)) continue;
    auto found = quay.others.find(seat.signal);
    const bool heard = found != quay.others.end() && found->second.last.seat.id == seat.id;
    quay.formerUntilMs[seat.id] = (heard ? found->second.heardMs : now.steadyMs) + bounds(quay).lapseMs();
  }
  quay.sealed = false;
  quay.catchUp.clear();
  if (votes && !voted) quay.leaseUntilMs = now.steadyMs + bounds(quay).termMs;
  persist(quay, std::move(writes), {}, out);
  quay.crew.cohort = cohort;
  quay.joined = {};
  sendQuayBeats(quay, now, out);
  quay.askedMs = -1000000;
  askCatchUp(quay, now, out);
  if (!votes || !standing(quay, now) || !quay.chartKnown) return;
  for (auto& [id, row] : quay.sessions)
    if (row.member.role == Role::pilot && now.steadyMs - row.heardMs <= bounds(quay).termMs) out.send(row.member.signal, makeGrant(quay, row, now));
}

// Once every member of the first cohort is seen to have promised itself to it, none can be in another.
void tryStand(QuayState& quay, Now now, Outbox& out) {
  if (!quay.image.empty() || quay.joined.cohort.seats.empty()) return;
  for (const auto& seat : quay.joined.cohort.seats) {
    if (seat.id == quay.image.id) continue;
    auto found = quay.others.find(seat.signal);
    if (found == quay.others.end() || found->second.last.seat.id != seat.id || found->second.last.joined != quay.joined) return;
  }
  const Cohort cohort = quay.joined.cohort;
  installCohort(quay, cohort, now, out);
}

void onForm(QuayState& quay, const Form& form, Now now, Outbox& out) {
  if (quay.diskless || !quay.image.empty() || !quay.crew.env.firstBoot || !quay.known.seats.empty() || ailing(quay)) return;
  if (now.steadyMs - quay.rememberedMs < 4 * bounds(quay).termMs) return;
  if (!seated(form.cohort, quay.image.id) || form.number <= quay.image.joined.number) return;
  quay.joined = {};
  persist(quay, {hold::entry::joined(form)}, {}, out);
  quay.joinedTicket = quay.ticket;
}

struct Candidate {
  CellName cell;
  Seat seat;
};

// Taken from the cells in turn, so that the loss of one cell leaves a majority where that can be.
std::vector<Seat> pickSeats(const std::vector<Candidate>& candidates, std::size_t count) {
  std::map<CellName, std::vector<Seat>> cells;
  for (const auto& candidate : candidates) cells[candidate.cell].push_back(candidate.seat);
  std::vector<Seat> seats;
  for (std::size_t round = 0; seats.size() < count; ++round)
    for (const auto& [cell, list] : cells)
      if (round < list.size() && seats.size() < count) seats.push_back(list[round]);
  return seats;
}

std::size_t wantedSeats(const QuayState& quay) { return static_cast<std::size_t>(2 * std::max<std::int64_t>(0, quay.crew.env.losses) + 1); }

bool sameSeeds(std::vector<Address> one, std::vector<Address> other) {
  std::sort(one.begin(), one.end());
  std::sort(other.begin(), other.end());
  return one == other;
}

// Heard within a term, and its word back to us too.
bool inTouch(const QuayState& quay, const OtherQuay& other, Now now) {
  const auto since = now.steadyMs - bounds(quay).termMs;
  return other.soundMs >= since && other.echoMs >= since;
}

// One decider, the lowest seed, names the members of the first cohort.
void tryForm(QuayState& quay, Now now, Outbox& out) {
  const auto& env = quay.crew.env;
  if (!env.firstBoot || !knownCohort(quay).seats.empty() || env.seeds.empty()) return;
  if (self(quay) != *std::min_element(env.seeds.begin(), env.seeds.end())) return;
  const auto termMs = bounds(quay).termMs;
  Revision remembered = now.steadyMs - quay.rememberedMs < 4 * termMs ? quay.remembered : 0;
  for (const auto& [address, other] : quay.others)
    if (now.steadyMs - other.heardMs < termMs) remembered = std::max(remembered, other.last.remembered);
  if (remembered > 0) {
    if (!std::exchange(quay.deniesForming, true))
      out.alarms.push_back("daemons remember cohort " + std::to_string(remembered) +
                           ": no new fleet is formed here; bring back its data folders, or stop every pilot and tender to begin anew");
    return;
  }
  const auto fit = [&](const OtherQuay& other) {
    return inTouch(quay, other, now) && other.last.empty && other.last.cohort.seats.empty() && other.last.firstBoot && sameSeeds(other.last.seeds, env.seeds);
  };
  for (const auto& seed : env.seeds) {
    if (seed == self(quay)) continue;
    auto found = quay.others.find(seed);
    if (found == quay.others.end() || !fit(found->second)) return;
  }
  std::vector<Candidate> candidates;
  Form joined = quay.image.joined;
  if (!quay.diskless) candidates.push_back({env.cell, {quay.image.id, self(quay)}});
  for (const auto& [address, other] : quay.others) {
    if (other.last.diskless || !fit(other)) continue;
    candidates.push_back({other.last.cell, other.last.seat});
    if (other.last.joined.number > joined.number) joined = other.last.joined;
  }
  auto& forming = quay.forming;
  if (joined.number > forming.wanted.number) forming.wanted = joined;
  // A member whose address has another identity now is gone with its disk, and its promise with it.
  const bool gone = std::any_of(forming.wanted.cohort.seats.begin(), forming.wanted.cohort.seats.end(), [&](const Seat& seat) {
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& each) { return each.seat.signal == seat.signal && each.seat.id != seat.id; });
  });
  if (forming.wanted.cohort.seats.empty() || gone) {
    if (std::exchange(forming.candidates, candidates.size()) != candidates.size()) forming.grownMs = now.steadyMs;
    const auto most = wantedSeats(quay);
    if (candidates.empty() || now.steadyMs - forming.grownMs < (candidates.size() < most ? 2 * termMs : termMs / 3)) return;
    auto count = std::min(most, candidates.size());
    if (count % 2 == 0) --count;
    forming.wanted = {Cohort{1, pickSeats(candidates, count)}, forming.wanted.number + 1};
  }
  for (const auto& seat : forming.wanted.cohort.seats) {
    if (seat.id == quay.image.id) onForm(quay, forming.wanted, now, out);
    else if (auto found = quay.others.find(seat.signal); found == quay.others.end() || found->second.last.joined != forming.wanted)
      out.send(seat.signal, forming.wanted);
  }
}

struct Change {
  std::vector<Seat> seats;
  std::uint32_t givers = 0;
};

// The next cohort that is wanted: one seat replaced or added.
std::optional<Change> nextSeats(const QuayState& quay, Now now) {
  const auto& seats = quay.image.cohort.seats;
  const auto termMs = bounds(quay).termMs;
  std::map<DaemonId, CellName> cells{{quay.image.id, quay.crew.env.cell}};
  const Seat* proposer = nullptr;
  bool calm = true;
  const auto holder = [&](const Seat& seat) -> const OtherQuay* {
    auto found = quay.others.find(seat.signal);
    return found != quay.others.end() && found->second.last.seat.id == seat.id ? &found->second : nullptr;
  };
  for (const auto& seat : seats) {
    const auto* other = holder(seat);
    if (other) cells[seat.id] = other->last.cell;
    const bool alive = seat.id == quay.image.id || (other && now.steadyMs - other->soundMs < termMs);
    const bool votes = seat.id == quay.image.id || (alive && other->last.voting);
    calm = calm && votes;
    if (votes && (!proposer || seat.id < proposer->id)) proposer = &seat;
  }
  if (!proposer || proposer->id != quay.image.id) return {};
  std::vector<const QuayBeat*> spares;
  for (const auto& [address, other] : quay.others)
    if (!other.last.diskless && inTouch(quay, other, now) && !seated(quay.image.cohort, other.last.seat.id) &&
        other.last.cohort.revision <= quay.image.cohort.revision)
      spares.push_back(&other.last);
  if (spares.empty()) return {};
  const auto inCell = [&](const CellName& cell, const DaemonId& without) {
    return std::count_if(seats.begin(), seats.end(), [&](const Seat& seat) {
      auto found = cells.find(seat.id);
      return seat.id != without && found != cells.end() && found->second == cell;
    });
  };
  const auto best = [&](const DaemonId& without) {
    return *std::min_element(spares.begin(), spares.end(), [&](const QuayBeat* one, const QuayBeat* other) {
      return std::pair(inCell(one->cell, without), one->seat.id) < std::pair(inCell(other->cell, without), other->seat.id);
    });
  };
  const auto replaced = [&](std::size_t place, const Seat& by) {
    Change change{seats, 0};
    change.seats[place] = by;
    return change;
  };
  for (std::size_t i = 0; i < seats.size(); ++i)
    for (const auto* spare : spares)
      if (spare->seat.signal == seats[i].signal && seats[i].id != quay.image.id) return replaced(i, spare->seat);
  const Millis patientMs = 4 * termMs;
  const Millis silentMs = bounds(quay).catchUpMs > 0 ? std::min(patientMs, bounds(quay).catchUpMs / 3) : patientMs;
  if (now.steadyMs >= quay.bornMs + silentMs)
    for (std::size_t i = 0; i < seats.size(); ++i) {
      if (seats[i].id == quay.image.id) continue;
      const auto* other = holder(seats[i]);
      if (!other || now.steadyMs - other->soundMs > silentMs) return replaced(i, best(seats[i].id)->seat);
    }
  if (!calm) return {};
  const auto most = wantedSeats(quay);
  const bool toOdd = seats.size() % 2 == 0;
  if (seats.size() < most && (toOdd || spares.size() >= 2 || seats.size() + 1 == most)) {
    Change change{seats, static_cast<std::uint32_t>(majority(seats.size()))};
    change.seats.push_back(best({})->seat);
    return change;
  }
  const auto bearable = static_cast<std::ptrdiff_t>(seats.size() - majority(seats.size()));
  for (std::size_t i = seats.size(); i-- > 0;) {
    if (seats[i].id == quay.image.id || inCell(cells[seats[i].id], {}) <= bearable) continue;
    const auto* spare = best(seats[i].id);
    if (inCell(spare->cell, seats[i].id) < bearable) return replaced(i, spare->seat);
  }
  return {};
}

void tryReseat(QuayState& quay, Now now, Outbox& out) {
  if (quay.image.empty() || !mayVote(quay) || !standing(quay, now) || proposing(quay.crew, nextCohortKey(quay))) return;
  if (auto change = nextSeats(quay, now))
    proposeFixed(quay.crew, nextCohortKey(quay), hold::packCohort(Cohort{quay.image.cohort.revision + 1, std::move(change->seats), change->givers}), now, out);
}

void onQuayBeat(QuayState& quay, const Heard& heard, const QuayBeat& beat, Now now, Outbox& out) {
  auto& other = quay.others[heard.from];
  if (other.last.seat.id == beat.seat.id && beat.sentMs < other.last.sentMs) return;
  const bool sameLife = other.last.seat.id == beat.seat.id;
  other.last = beat;
  other.last.chartValue.clear();
  other.last.sessions.clear();
  other.heardMs = now.steadyMs;
  if (!beat.ailing) other.soundMs = now.steadyMs;
  if (!sameLife) other.echoMs = -1000000;
  if (beat.echoMs <= now.steadyMs) other.echoMs = std::max(other.echoMs, beat.echoMs);
  if (!beat.sameSessions) {
    other.sessions = beat.sessions;
    other.sessionsDigest = beat.sessionsDigest;
  } else if (!sameLife || other.sessionsDigest != beat.sessionsDigest) {
    other.sessionsDigest = 0;
  }
  if (!quay.diskless) learnChart(quay, beat.chartBallot, beat.chartValue, now, out);
  if (beat.cohort.revision > quay.image.cohort.revision && (!quay.image.empty() || seated(beat.cohort, quay.image.id))) {
    installCohort(quay, beat.cohort, now, out);
  } else if (quay.image.empty() && beat.cohort.revision > quay.known.revision) {
    quay.known = beat.cohort;
    sendQuayBeats(quay, now, out);
  }
  tryStand(quay, now, out);
  const bool lost = beat.echoMs < now.steadyMs - bounds(quay).termMs && !quay.diskless;
  const bool behind = beat.cohort.revision < knownCohort(quay).revision;
  if ((lost || behind || (beat.diskless && !quay.diskless)) && now.steadyMs - other.repliedMs >= bounds(quay).beatMs() / 4)
    sendQuayBeat(quay, heard.from, makeQuayBeat(quay, now), now, out);
  if (!beat.leader.term.owner.empty() && quay.leader.term <= beat.leader.term && beat.leaseLeftMs > 0) {
    quay.leader = beat.leader;
    quay.hintUntilMs = std::max(quay.hintUntilMs, now.steadyMs + beat.leaseLeftMs);
  }
}

bool cohortMatches(const QuayState& quay, Revision revision) {
  return revision == quay.image.cohort.revision && !quay.sealed && mayVote(quay) && seated(quay.image.cohort, quay.image.id);
}

void onRegisterPrepare(QuayState& quay, const Heard& heard, const RegisterPrepare& ask, Outbox& out) {
  const bool cohortKey = ask.key == nextCohortKey(quay);
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || (!cohortKey && !cohortMatches(quay, ask.cohort))) return;
  std::vector<DiskEntry> writes;
  auto reply = hold::promise(quay.image, ask, writes);
  persist(quay, std::move(writes), {{heard.from, reply}}, out);
}

void onRegisterAccept(QuayState& quay, const Heard& heard, const RegisterAccept& ask, Outbox& out) {
  const bool cohortKey = ask.key == nextCohortKey(quay);
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || (!cohortKey && !cohortMatches(quay, ask.cohort))) return;
  std::vector<DiskEntry> writes;
  auto reply = hold::accept(quay.image, ask, writes);
  if (cohortKey && reply.ok) quay.sealed = true;
  persist(quay, std::move(writes), {{heard.from, reply}}, out);
}

void onRegisterChosen(QuayState& quay, const RegisterChosen& chosen, Now now, Outbox& out) {
  if (chosen.key == kChartKey) {
    const auto found = quay.image.registers.find(kChartKey);
    const bool held = found != quay.image.registers.end() && found->second.accepted == chosen.ballot;
    learnChart(quay, chosen.ballot, chosen.value.empty() && held ? found->second.value : chosen.value, now, out);
  }
  if (chosen.key != nextCohortKey(quay) || quay.image.empty()) return;
  const auto found = quay.image.registers.find(chosen.key);
  const bool held = found != quay.image.registers.end() && found->second.accepted == chosen.ballot;
  installCohort(quay, hold::unpackCohort(chosen.value.empty() && held ? found->second.value : chosen.value), now, out);
}

void onAckQuery(QuayState& quay, const Heard& heard, const AckQuery& ask, Now now, Outbox& out) {
  AckState state{ask.chartRevision, ask.query, quay.keptRevision >= ask.chartRevision, {}};
  for (const auto& [id, row] : quay.sessions)
    if (row.member.acked < ask.chartRevision && now.steadyMs - row.heardMs <= bounds(quay).termMs + bounds(quay).beatMs())
      state.waiting.push_back(id);
  // A life before this one may have granted sessions that it no longer knows of.
  if (now.steadyMs < quay.bornMs + bounds(quay).termMs + bounds(quay).beatMs()) state.waiting.push_back(quay.image.id);
  for (const auto& [id, untilMs] : quay.formerUntilMs)
    if (now.steadyMs < untilMs) state.waiting.push_back(id);
  const auto lapseMs = bounds(quay).lapseMs();
  for (const auto& seat : quay.image.cohort.seats) {
    if (seat.id == quay.image.id || now.steadyMs - quay.bornMs < lapseMs) continue;
    auto found = quay.others.find(seat.signal);
    if (found == quay.others.end() || now.steadyMs - found->second.heardMs >= lapseMs) state.silent.push_back(seat.id);
  }
  out.send(heard.from, std::move(state));
}

void onRangePrepare(QuayState& quay, const Heard& heard, const RangePrepare& ask, Now now, Outbox& out) {
  endLeaseOfEarlierLife(quay, heard.fromId, now);
  if (!cohortMatches(quay, ask.cohort)) return;
  RangePromise reply;
  reply.term = ask.term;
  reply.promised = quay.image.rangePromised;
  reply.fleetMs = fleetNow(quay.crew, now);
  const bool again = quay.image.rangePromised == ask.term;
  if (!again && (ask.term < quay.image.rangePromised || leaseLive(quay, now))) {
    reply.leaseLeftMs = std::max<Millis>(0, quay.leaseUntilMs - now.steadyMs);
    out.send(heard.from, std::move(reply));
    return;
  }
  reply.ok = true;
  reply.base = quay.image.rangeBase;
  for (const auto& [key, entry] : quay.image.jobs) reply.entries.push_back(entry);
  std::vector<DiskEntry> writes{hold::entry::rangePromise(ask.term)};
  persist(quay, std::move(writes), {{heard.from, std::move(reply)}}, out);
}

void onRangeAccept(QuayState& quay, const Heard& heard, const RangeAccept& ask, Now now, Outbox& out) {
  RangeAccepted reply{ask.term, ask.seq, ask.sentMs, false, ask.seq > 0, quay.image.rangePromised};
  if (!cohortMatches(quay, ask.cohort) || ask.term < quay.image.rangePromised) {
    ++quay.rangeDenied;
    out.send(heard.from, std::move(reply));
    return;
  }
  std::vector<DiskEntry> writes;
  if (quay.image.rangePromised < ask.term) {
    out.send(heard.from, std::move(reply));
    return;
  }
  ++quay.rangeAccepts;
  reply.ok = true;
  quay.leader = ask.hint;
  quay.leaseUntilMs = quay.hintUntilMs = now.steadyMs + bounds(quay).termMs;
  if (std::pair(ask.term, ask.sentMs) >= quay.fleetFrom) {
    quay.fleetFrom = {ask.term, ask.sentMs};
    setFleet(quay.crew, ask.fleetMs, now);
  }
  if (ask.seq > 0) {
    writes.push_back(hold::entry::rangeBase(ask.term));
    writes.push_back(hold::entry::fleet(ask.term, ask.fleetMs));
  }
  for (const auto& entry : ask.entries) writes.push_back(hold::entry::job(entry));
  persist(quay, std::move(writes), {{heard.from, std::move(reply)}}, out);
}

void onCatchUpAsk(QuayState& quay, const Heard& heard, const CatchUpAsk& ask, Now now, Outbox& out) {
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || !seated(quay.image.cohort, ask.id)) return;
  CatchUpGive give{ask.cohort, quay.image.id, quay.image.rangePromised, fleetNow(quay.crew, now), {}, {}, quay.image.rangeBase, {}, quay.image.learned};
  for (const auto& [key, entry] : quay.image.jobs) give.entries.push_back(entry);
  for (const auto& [key, slot] : quay.image.registers) {
    give.registers.push_back({key, {slot.accepted, 0}, slot.value});
    give.promises.push_back({key, {slot.promised, 0}, {}});
  }
  out.send(heard.from, std::move(give));
}

void onCatchUpGive(QuayState& quay, const CatchUpGive& give, Now now, Outbox& out) {
  if (quay.image.voting || give.cohort != quay.image.cohort.revision || !seated(quay.image.cohort, give.id)) return;
  quay.catchUp[give.id] = give;
  const auto& cohort = quay.image.cohort;
  if (quay.catchUp.size() < (cohort.givers > 0 ? cohort.givers : majority(cohort.seats.size()))) return;
  std::vector<DiskEntry> writes{hold::entry::clear()};
  hold::apply(quay.image, writes.front());
  Ballot base;
  Millis fleetMs = 0;
  for (const auto& [id, each] : quay.catchUp) base = std::max(base, each.base);
  for (const auto& [id, each] : quay.catchUp)
    if (each.base == base) fleetMs = std::max(fleetMs, each.fleetMs);
  writes.push_back(hold::entry::fleet(base, fleetMs));
  setFleet(quay.crew, fleetMs, now);
  writes.push_back(hold::entry::rangeBase(base));
  for (const auto& [id, each] : quay.catchUp) {
    writes.push_back(hold::entry::rangePromise(each.rangePromised));
    if (each.learned != Ballot{}) writes.push_back(hold::entry::learned(each.learned));
    if (each.base == base)
      for (const auto& entry : each.entries) writes.push_back(hold::entry::job(entry));
    for (const auto& entry : each.registers) {
      auto found = quay.image.registers.find(entry.key);
      if (found == quay.image.registers.end() || found->second.accepted < entry.version.ballot) {
        writes.push_back(hold::entry::registerAccept(entry.key, entry.version.ballot, entry.value));
        hold::apply(quay.image, writes.back());
      }
    }
    for (const auto& entry : each.promises) writes.push_back(hold::entry::registerPromise(entry.key, entry.version.ballot));
  }
  writes.push_back(hold::entry::voting(true));
  ++quay.catchUps;
  quay.leaseUntilMs = now.steadyMs + bounds(quay).termMs;
  quay.catchUp.clear();
  persist(quay, std::move(writes), {}, out);
}

void onTick(QuayState& quay, Now now, Outbox& out) {
  if (now.steadyMs - quay.beatSentMs >= beatPauseMs(quay)) {
    tryForm(quay, now, out);
    gatherMembers(quay, now);
    sendQuayBeats(quay, now, out);
    askCatchUp(quay, now, out);
    tryReseat(quay, now, out);
    std::erase_if(quay.sessions, [&](const auto& row) { return now.steadyMs - row.second.heardMs > 4 * bounds(quay).termMs; });
  }
  if (!mayVote(quay) || quay.image.empty()) return;
  auto found = quay.image.registers.find(kChartKey);
  const bool open = found != quay.image.registers.end() && quay.learnedBallot < found->second.accepted;
  if (!open) quay.openSinceMs = -1;
  else if (quay.openSinceMs < 0) quay.openSinceMs = now.steadyMs;
  // Reading the register waits for no one to stand: quays that forgot what they had learned let none stand before.
  const bool abandoned = open && standing(quay, now) && now.steadyMs - quay.openSinceMs >= bounds(quay).termMs / 2;
  if ((!quay.chartKnown || abandoned) && now.steadyMs >= quay.completeAtMs && !proposing(quay.crew, kChartKey)) {
    quay.completeAtMs = now.steadyMs + bounds(quay).termMs;
    proposeFixed(quay.crew, kChartKey, "", now, out);
  }
  auto step = quay.image.registers.find(nextCohortKey(quay));
  if (step == quay.image.registers.end() || step->second.value.empty()) quay.stepSinceMs = -1;
  else if (quay.stepSinceMs < 0) quay.stepSinceMs = now.steadyMs;
  else if (now.steadyMs - quay.stepSinceMs >= bounds(quay).beatMs() && !proposing(quay.crew, step->first))
    proposeFixed(quay.crew, step->first, "", now, out);
}

}  // namespace

QuayState makeQuay(const Env& env, hold::Image image, std::string incarnation, Now now) {
  QuayState quay;
  quay.crew = makeCrew(env, image.id, std::move(incarnation));
  quay.crew.cohort = image.cohort;
  quay.crew.fleetMs = image.fleetMs;
  quay.crew.fleetAtMs = now.steadyMs;
  quay.bornMs = now.steadyMs;
  quay.diskless = env.dataFolder.empty();
  for (const auto& [key, slot] : image.registers)
    quay.crew.ballotNumber = std::max(quay.crew.ballotNumber, slot.promised.number);
  quay.image = std::move(image);
  quay.joined = quay.image.joined;
  if (auto found = quay.image.registers.find(kChartKey);
      found != quay.image.registers.end() && found->second.accepted == quay.image.learned && !found->second.value.empty()) {
    quay.learnedBallot = found->second.accepted;
    quay.learnedValue = found->second.value;
    quay.learned = chart::readStored(quay.learnedValue);
    quay.keptRevision = quay.learned.revision;
    quay.chartKnown = true;
  }
  if (auto found = quay.image.registers.find(nextCohortKey(quay)); found != quay.image.registers.end())
    quay.sealed = !found->second.value.empty();
  if (!quay.image.empty()) quay.leaseUntilMs = now.steadyMs + env.bounds.termMs;
  const auto& seats = quay.image.cohort.seats;
  const auto place = std::find_if(seats.begin(), seats.end(), [&](const Seat& seat) { return seat.id == quay.image.id; }) - seats.begin();
  quay.completeAtMs = now.steadyMs + place * env.bounds.beatMs() / 4;
  return quay;
}

bool standing(const QuayState& quay, Now now) {
  if (quay.image.empty()) return false;
  std::size_t count = 0;
  for (const auto& seat : quay.image.cohort.seats) {
    if (seat.id == quay.image.id) {
      ++count;
      continue;
    }
    auto found = quay.others.find(seat.signal);
    if (found != quay.others.end() && found->second.last.seat.id == seat.id &&
        found->second.echoMs >= now.steadyMs - bounds(quay).termMs)
      ++count;
  }
  return seated(quay.image.cohort, quay.image.id) && count >= majority(quay.image.cohort.seats.size());
}

bool ailing(const QuayState& quay) {
  return quay.diskFailed || (!quay.waiting.empty() && quay.stepMs - quay.waiting.begin()->second.sinceMs > bounds(quay).termMs);
}

void quayStep(QuayState& quay, const Event& event, Now now, Outbox& out) {
  quay.stepMs = now.steadyMs;
  if (const auto* heard = std::get_if<Heard>(&event)) {
    if (crewHeard(quay.crew, *heard, now, out)) {
      for (auto& proposal : quay.crew.proposals)
        if (proposal.phase == Phase::done && !proposal.edit && proposal.key == kChartKey && proposal.value.empty() && quay.image.learned == Ballot{})
          quay.chartKnown = true;
      return;
    }
    std::visit(
        [&](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (std::is_same_v<Body, SessionBeat>) onSessionBeat(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, QuayBeat>) onQuayBeat(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RegisterPrepare>) onRegisterPrepare(quay, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterAccept>) onRegisterAccept(quay, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterChosen>) onRegisterChosen(quay, body, now, out);
          else if constexpr (std::is_same_v<Body, AckQuery>) onAckQuery(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RangePrepare>) onRangePrepare(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RangeAccept>) onRangeAccept(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpAsk>) onCatchUpAsk(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpGive>) onCatchUpGive(quay, body, now, out);
          else if constexpr (std::is_same_v<Body, Form>) onForm(quay, body, now, out);
          else if constexpr (std::is_same_v<Body, Resign>) {
            if (quay.leader.term == body.term) quay.leaseUntilMs = quay.hintUntilMs = now.steadyMs;
          }
        },
        heard->message);
  } else if (const auto* persisted = std::get_if<Persisted>(&event)) {
    auto found = quay.waiting.find(persisted->ticket);
    if (found == quay.waiting.end()) return;
    auto sends = std::move(found->second.sends);
    if (persisted->ok) quay.keptRevision = std::max(quay.keptRevision, found->second.learned);
    quay.waiting.erase(found);
    if (persisted->ok && persisted->ticket == quay.joinedTicket) {
      quay.joined = quay.image.joined;
      sendQuayBeats(quay, now, out);
      tryStand(quay, now, out);
    }
    if (!persisted->ok) {
      quay.diskFailed = true;
    }
    if (!quay.diskFailed)
      for (auto& send : sends) out.sends.push_back(std::move(send));
  } else if (std::holds_alternative<Tick>(event)) {
    if (ailing(quay) != quay.ailed) {
      quay.ailed = !quay.ailed;
      out.alarms.push_back(quay.ailed ? "the disk takes no writes: this quay no longer votes" : "the disk takes writes again: this quay votes");
    }
    onTick(quay, now, out);
    crewTick(quay.crew, now, out);
    quay.crew.ready = mayVote(quay) && standing(quay, now) && sessionLive(quay.crew, now) && !quay.crew.leader.http.empty() && !quay.crew.leaving;
  }
}

}  // namespace tulip::watch
