#pragma once
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "bearing/types.hpp"

namespace tulip::signal {

inline constexpr std::uint32_t kOldestRevision = 2;
inline constexpr std::uint32_t kRevision = 2;

struct Member {
  DaemonId id;
  Role role = Role::pilot;
  CellName cell;
  Address signal;
  Address http;
  Revision acked = 0;
  bool ready = false;
  bool leaving = false;
  Millis ageMs = 0;
  DaemonId home;
  MSGPACK_DEFINE(id, role, cell, signal, http, acked, ready, leaving, ageMs, home)
};

struct LeaderHint {
  Ballot term;
  Address signal;
  Address http;
  auto operator<=>(const LeaderHint&) const = default;
  MSGPACK_DEFINE(term, signal, http)
};

struct Seat {
  DaemonId id;
  Address signal;
  auto operator<=>(const Seat&) const = default;
  MSGPACK_DEFINE(id, signal)
};

struct Cohort {
  Revision revision = 0;
  std::vector<Seat> seats;
  std::uint32_t givers = 0;  // states that a new seat takes before it votes: a majority of the cohort before; 0: of this one
  bool operator==(const Cohort&) const = default;
  MSGPACK_DEFINE(revision, seats, givers)
};

struct Version {
  Ballot ballot;
  std::uint64_t seq = 0;
  auto operator<=>(const Version&) const = default;
  MSGPACK_DEFINE(ballot, seq)
};

struct Entry {
  std::string key;
  Version version;
  std::string value;
  MSGPACK_DEFINE(key, version, value)
};

struct SessionBeat {
  Member me;
  std::uint64_t beat = 0;
  Millis sentMs = 0;
  Revision cohort = 0;
  std::uint64_t membersDigest = 0;  // of the list that the sender has; 0: none
  MSGPACK_DEFINE(me, beat, sentMs, cohort, membersDigest)
};

struct SessionGrant {
  std::uint64_t beat = 0;
  Millis sentMs = 0;
  Millis termMs = 0;
  Revision chartRevision = 0;
  std::string chartText;
  LeaderHint leader;
  Cohort cohort;
  std::vector<Member> members;      // empty with the digest that the beat named: unchanged
  Millis fleetMs = 0;
  std::uint64_t membersDigest = 0;  // without ages; 0: nothing said of members
  Revision chartBase = 0;           // above 0: chartText is a delta to the text of this revision
  MSGPACK_DEFINE(beat, sentMs, termMs, chartRevision, chartText, leader, cohort, members, fleetMs, membersDigest, chartBase)
};

struct RegisterPrepare {
  Revision cohort = 0;
  std::string key;
  Ballot ballot;
  Ballot known{};  // the accepted value of this ballot need not be sent back
  MSGPACK_DEFINE(cohort, key, ballot, known)
};

struct RegisterPromise {
  std::string key;
  Ballot ballot;
  bool ok = false;
  Ballot promised;
  Ballot accepted;
  std::string value;
  MSGPACK_DEFINE(key, ballot, ok, promised, accepted, value)
};

struct RegisterAccept {
  Revision cohort = 0;
  std::string key;
  Ballot ballot;
  std::string value;
  MSGPACK_DEFINE(cohort, key, ballot, value)
};

struct RegisterAccepted {
  std::string key;
  Ballot ballot;
  bool ok = false;
  Ballot promised;
  MSGPACK_DEFINE(key, ballot, ok, promised)
};

struct RegisterChosen {
  std::string key;
  Ballot ballot;
  std::string value;  // empty: the value that the receiver accepted under this ballot
  MSGPACK_DEFINE(key, ballot, value)
};

struct AckQuery {
  Revision chartRevision = 0;
  std::uint64_t query = 0;
  MSGPACK_DEFINE(chartRevision, query)
};

struct AckState {
  Revision chartRevision = 0;
  std::uint64_t query = 0;
  bool learned = false;
  std::vector<DaemonId> waiting;
  std::vector<DaemonId> silent{};  // seats unheard for so long that no session of theirs is left unless others heard them
  MSGPACK_DEFINE(chartRevision, query, learned, waiting, silent)
};

struct RangePrepare {
  Revision cohort = 0;
  Ballot term;
  LeaderHint hint;
  MSGPACK_DEFINE(cohort, term, hint)
};

struct RangePromise {
  Ballot term;
  bool ok = false;
  Ballot promised;
  Millis leaseLeftMs = 0;
  Millis fleetMs = 0;
  std::vector<Entry> entries;
  Ballot base;
  MSGPACK_DEFINE(term, ok, promised, leaseLeftMs, fleetMs, entries, base)
};

struct RangeAccept {
  Revision cohort = 0;
  Ballot term;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  Millis fleetMs = 0;
  LeaderHint hint;
  std::vector<Entry> entries;
  MSGPACK_DEFINE(cohort, term, seq, sentMs, fleetMs, hint, entries)
};

struct RangeAccepted {
  Ballot term;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  bool ok = false;
  bool synced = false;
  Ballot promised;
  MSGPACK_DEFINE(term, seq, sentMs, ok, synced, promised)
};

struct Resign {
  Ballot term;
  MSGPACK_DEFINE(term)
};

// Asks an empty quay to promise itself to this first cohort, and to no other unless it is asked with a higher number.
struct Form {
  Cohort cohort;
  std::uint64_t number = 0;
  bool operator==(const Form&) const = default;
  MSGPACK_DEFINE(cohort, number)
};

struct QuayBeat {
  Seat seat;
  std::vector<Address> seeds;
  bool empty = true;
  Cohort cohort;
  Millis sentMs = 0;
  Millis echoMs = 0;
  Ballot chartBallot;
  std::string chartValue;
  LeaderHint leader;
  Millis leaseLeftMs = 0;
  Millis fleetMs = 0;
  std::vector<Member> sessions;
  bool ailing = false;
  Revision remembered = 0;
  CellName cell;
  bool diskless = false;             // holds no seat; only tells where the others are
  bool voting = false;
  bool firstBoot = true;
  Form joined;                       // the first cohort that the sender promised itself to, synced
  std::uint64_t sessionsDigest = 0;  // without ages
  std::uint64_t echoDigest = 0;      // of the receiver's sessions as known here
  bool sameSessions = false;         // left out, since the receiver echoed their digest
  MSGPACK_DEFINE(seat, seeds, empty, cohort, sentMs, echoMs, chartBallot, chartValue, leader, leaseLeftMs, fleetMs, sessions, ailing,
                 remembered, cell, diskless, voting, firstBoot, joined, sessionsDigest, echoDigest, sameSessions)
};

// The answer to a session beat that is not granted: where to ask instead.
struct Referral {
  std::vector<Address> quays;
  MSGPACK_DEFINE(quays)
};

struct CatchUpAsk {
  Revision cohort = 0;
  DaemonId id;
  MSGPACK_DEFINE(cohort, id)
};

struct CatchUpGive {
  Revision cohort = 0;
  DaemonId id;
  Ballot rangePromised;
  Millis fleetMs = 0;
  std::vector<Entry> entries;
  std::vector<Entry> registers;
  Ballot base;
  std::vector<Entry> promises;
  Ballot learned{};
  MSGPACK_DEFINE(cohort, id, rangePromised, fleetMs, entries, registers, base, promises, learned)
};

enum class RunState : std::uint8_t { ordered, going, stopping, ended };
enum class RunOutcome : std::uint8_t { none, clean, failed, stopped, lost, lapsed, broken, alone, refused };

struct RunReport {
  RunId id;
  RunState state = RunState::ordered;
  RunOutcome outcome = RunOutcome::none;
  std::string detail;
  std::string saved = {};
  std::int64_t percent = 0;
  MSGPACK_DEFINE(id, state, outcome, detail, saved, percent)
};

struct TenderReport {
  DaemonId tender;
  CellName cell;
  WorkerId worker;
  std::string workerIncarnation;
  bool workerHeard = false;
  Millis workerAgeMs = 0;
  PoolName pool;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> room;
  bool leaving = false;
  Revision acked = 0;
  Ballot ordersTerm;
  std::uint64_t ordersSeq = 0;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  std::vector<RunReport> runs;
  Millis leavesMs = -1;
  Millis wallMs = 0;
  MSGPACK_DEFINE(tender, cell, worker, workerIncarnation, workerHeard, workerAgeMs, pool, labels, slots, room, leaving, acked,
                 ordersTerm, ordersSeq, seq, sentMs, runs, leavesMs, wallMs)
};

struct WantedRun {
  RunId id;
  bool stop = false;
  std::string spec;
  std::string workerIncarnation;
  std::string saved = {};
  bool whole = false;  // spec and saved are given; not so once the tender lists the run
  MSGPACK_DEFINE(id, stop, spec, workerIncarnation, saved, whole)
};

struct Orders {
  Ballot term;
  std::uint64_t seq = 0;
  DaemonId tender;
  std::uint64_t echoSeq = 0;
  Millis echoMs = 0;
  Revision chartRevision = 0;
  Millis fleetMs = 0;
  std::vector<WantedRun> wanted;
  MSGPACK_DEFINE(term, seq, tender, echoSeq, echoMs, chartRevision, fleetMs, wanted)
};

enum class CallKind : std::uint8_t { submit, getJob, cancelJob, countPending };

struct CallAsk {
  std::uint64_t transaction = 0;
  CallKind call = CallKind::getJob;
  PendingName pending;
  JobId job;
  std::string spec;
  Revision chartRevision = 0;
  MSGPACK_DEFINE(transaction, call, pending, job, spec, chartRevision)
};

struct CallAnswer {
  std::uint64_t transaction = 0;
  std::int64_t kind = 0;
  std::uint8_t phase = 0;
  std::int64_t count = 0;
  Millis retryMs = 0;
  MSGPACK_DEFINE(transaction, kind, phase, count, retryMs)
};

using Message =
    std::variant<SessionBeat, SessionGrant, RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted, RegisterChosen,
                 AckQuery, AckState, RangePrepare, RangePromise, RangeAccept, RangeAccepted, Resign, QuayBeat, Form, CatchUpAsk,
                 CatchUpGive, TenderReport, Orders, CallAsk, CallAnswer, Referral>;

struct Frame {
  std::uint32_t revision = kRevision;
  DaemonId fromId;
  Address from;
  Address to;
  Message message;
};

std::string encode(const Frame& frame);
enum class Decoded { ok, malformed, foreignRevision };
Decoded decode(std::string_view bytes, Frame& frame);

}  // namespace tulip::signal
MSGPACK_ADD_ENUM(tulip::signal::RunState)
MSGPACK_ADD_ENUM(tulip::signal::RunOutcome)
MSGPACK_ADD_ENUM(tulip::signal::CallKind)
