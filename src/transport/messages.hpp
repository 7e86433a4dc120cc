#pragma once
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/types.hpp"
#include "base/unpack.hpp"

namespace tulip::transport {

inline constexpr std::uint32_t kOldestProtocolVersion = 2;
inline constexpr std::uint32_t kProtocolVersion = 5;

struct Member {
  DaemonId id;
  Role role = Role::scheduler;
  ZoneName zone;
  Address peerAddress;
  Address http;
  Version acked = 0;
  bool ready = false;
  bool leaving = false;
  Millis ageMs = 0;
  DaemonId home;
  MSGPACK_DEFINE(id, role, zone, peerAddress, http, acked, ready, leaving, ageMs, home)
};

struct LeaderHint {
  Ballot term;
  Address peerAddress;
  Address http;
  auto operator<=>(const LeaderHint&) const = default;
  MSGPACK_DEFINE(term, peerAddress, http)
};

struct Voter {
  DaemonId id;
  Address peerAddress;
  auto operator<=>(const Voter&) const = default;
  MSGPACK_DEFINE(id, peerAddress)
};

struct Membership {
  Version version = 0;
  std::vector<Voter> voters;
  std::uint32_t givers =
      0;  // states that a new voter takes before it votes: a majority of the membership before; 0: of this one
  bool operator==(const Membership&) const = default;
  MSGPACK_DEFINE(version, voters, givers)
};

struct EntryVersion {
  Ballot ballot;
  std::uint64_t seq = 0;
  auto operator<=>(const EntryVersion&) const = default;
  MSGPACK_DEFINE(ballot, seq)
};

struct Entry {
  std::string key;
  EntryVersion version;
  std::string value;
  MSGPACK_DEFINE(key, version, value)
};

struct SessionHeartbeat {
  Member me;
  std::uint64_t heartbeat = 0;
  Millis sentMs = 0;
  Version membership = 0;
  std::uint64_t membersDigest = 0;      // of the list that the sender has; 0: none
  std::uint64_t answeredHeartbeat = 0;  // the newest of this process to which a grant was received; 0: none is known
  std::uint64_t mostConfigBytes = 0;    // of a configuration in one message; more is read in pieces; 0: any amount
  MSGPACK_DEFINE(me, heartbeat, sentMs, membership, membersDigest, answeredHeartbeat, mostConfigBytes)
};

struct SessionGrant {
  std::uint64_t heartbeat = 0;
  Millis sentMs = 0;
  Millis leaseMs = 0;
  Version configVersion = 0;
  std::string configText;
  LeaderHint leader;
  Membership membership;
  std::vector<Member> members;  // empty with the digest that the heartbeat named: unchanged
  Millis fleetMs = 0;
  std::uint64_t membersDigest = 0;  // without ages; 0: nothing said of members
  Version configBase = 0;           // above 0: chartText is a delta to the text of this revision
  Incarnation grantee{};            // whose heartbeat is answered: sentMs is of its clock
  bool takesEdits = false;          // the sender answers EditAsk
  std::uint64_t configBytes = 0;    // above 0: the text is left out, and can be read by ConfigAsk
  MSGPACK_DEFINE(heartbeat, sentMs, leaseMs, configVersion, configText, leader, membership, members, fleetMs,
                 membersDigest, configBase, grantee, takesEdits, configBytes)
};

struct RegisterPrepare {
  Version membership = 0;
  std::string key;
  Ballot ballot;
  Ballot known{};  // the accepted value of this ballot need not be sent back
  MSGPACK_DEFINE(membership, key, ballot, known)
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
  Version membership = 0;
  std::string key;
  Ballot ballot;
  std::string value;
  MSGPACK_DEFINE(membership, key, ballot, value)
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
  Version configVersion = 0;
  std::uint64_t query = 0;  // the ballot's number, for the protocol before incarnations
  Ballot ballot{};          // under which the version was chosen
  MSGPACK_DEFINE(configVersion, query, ballot)
};

struct AckState {
  Version configVersion = 0;
  std::uint64_t query = 0;
  bool learned = false;
  std::vector<DaemonId> waiting;
  std::vector<DaemonId>
      silent{};     // voters unheard for so long that no session of theirs is left unless others heard them
  Ballot ballot{};  // of the question
  MSGPACK_DEFINE(configVersion, query, learned, waiting, silent, ballot)
};

struct JobLogPrepare {
  Version membership = 0;
  Ballot term;
  LeaderHint hint;
  bool probe = false;  // asks only whether the term would be promised; unknown to earlier builds, which promise it
  bool versionsOnly = false;  // the values may be left out; unknown to earlier builds, which give them
  MSGPACK_DEFINE(membership, term, hint, probe, versionsOnly)
};

struct JobLogPromise {
  Ballot term;
  bool ok = false;
  Ballot promised;
  Millis leaseLeftMs = 0;
  Millis fleetMs = 0;
  std::vector<Entry> entries;
  Ballot base;
  Version membership = 0;              // of the question; 0: given by the protocol before incarnations
  bool probe = false;                  // answers a probe: nothing is promised, and no entries are given
  std::vector<std::uint64_t> leftOut;  // entry by entry the bytes of its value, which is left out; empty: none is
  Millis wallMs = 0;                   // the voter's time of day; 0: not told
  MSGPACK_DEFINE(term, ok, promised, leaseLeftMs, fleetMs, entries, base, membership, probe, leftOut, wallMs)
};

struct JobLogAccept {
  Version membership = 0;
  Ballot term;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  Millis fleetMs = 0;
  LeaderHint hint;
  std::vector<Entry> entries;
  std::uint64_t number = 0;  // rises within the term, over batches and heartbeats alike; kept when sent again
  MSGPACK_DEFINE(membership, term, seq, sentMs, fleetMs, hint, entries, number)
};

struct JobLogAccepted {
  Ballot term;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  bool ok = false;
  bool synced = false;
  Ballot promised;
  Millis wallMs = 0;  // the voter's time of day when it had the accept; 0: not told
  MSGPACK_DEFINE(term, seq, sentMs, ok, synced, promised, wallMs)
};

struct Resign {
  Ballot term;
  MSGPACK_DEFINE(term)
};

// Asks an empty replica to promise itself to this first membership, and to no other unless it is asked with a higher
// number.
struct BootstrapProposal {
  Membership membership;
  std::uint64_t number = 0;
  bool operator==(const BootstrapProposal&) const = default;
  MSGPACK_DEFINE(membership, number)
};

struct ReplicaHeartbeat {
  Voter voter;
  std::vector<Address> seeds;
  bool empty = true;
  Membership membership;
  Millis sentMs = 0;
  Millis acknowledgedMs = 0;
  Ballot configBallot;
  std::string configValue;
  LeaderHint leader;
  Millis leaseLeftMs = 0;
  Millis fleetMs = 0;
  std::vector<Member> sessions;
  bool ailing = false;
  Version remembered = 0;
  ZoneName zone;
  bool diskless = false;  // holds no voter; only tells where the others are
  bool voting = false;
  bool firstBoot = true;
  BootstrapProposal joined;               // the first membership that the sender promised itself to, synced
  std::uint64_t sessionsDigest = 0;       // without ages
  std::uint64_t acknowledgedDigest = 0;   // of the receiver's sessions as known here
  bool sameSessions = false;              // left out, since the receiver echoed their digest
  std::uint64_t number = 0;               // rises within the sender's incarnation
  Incarnation acknowledgedIncarnation{};  // whose heartbeat acknowledgedMs echoes: a time of its clock
  bool takesEdits = false;                // the sender answers EditAsk of other replicas
  bool checksConfigBallot = false;  // it counts no acknowledgement that comes with a newer configBallot than its own
  MSGPACK_DEFINE(voter, seeds, empty, membership, sentMs, acknowledgedMs, configBallot, configValue, leader,
                 leaseLeftMs, fleetMs, sessions, ailing, remembered, zone, diskless, voting, firstBoot, joined,
                 sessionsDigest, acknowledgedDigest, sameSessions, number, acknowledgedIncarnation, takesEdits,
                 checksConfigBallot)
};

// The answer to a session heartbeat that is not granted: where to ask instead.
struct Referral {
  std::vector<Address> replicas;
  MSGPACK_DEFINE(replicas)
};

struct CatchUpAsk {
  Version membership = 0;
  DaemonId id;
  CatchUpId question{};
  MSGPACK_DEFINE(membership, id, question)
};

struct CatchUpGive {
  Version membership = 0;
  DaemonId id;
  Ballot jobLogPromised;
  Millis fleetMs = 0;
  std::vector<Entry> entries;
  std::vector<Entry> registers;
  Ballot base;
  std::vector<Entry> promises;
  Ballot learned{};
  CatchUpId question{};  // that is answered
  MSGPACK_DEFINE(membership, id, jobLogPromised, fleetMs, entries, registers, base, promises, learned, question)
};

enum class AttemptState : std::uint8_t { ordered, running, stopping, ended };
enum class AttemptOutcome : std::uint8_t { none, clean, failed, stopped, lost, lapsed, broken, alone, refused };

struct AttemptReport {
  AttemptId id;
  AttemptState state = AttemptState::ordered;
  AttemptOutcome outcome = AttemptOutcome::none;
  std::string detail;
  std::string saved = {};
  std::int64_t percent = 0;
  MSGPACK_DEFINE(id, state, outcome, detail, saved, percent)
};

struct AgentReport {
  DaemonId agent;
  ZoneName zone;
  WorkerId worker;
  std::string workerIncarnation;
  bool workerHeard = false;
  Millis workerAgeMs = 0;
  PoolName pool;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> capacity;
  bool leaving = false;
  Version acked = 0;
  Ballot ordersTerm;
  std::uint64_t ordersSeq = 0;
  std::uint64_t seq = 0;
  Millis sentMs = 0;
  std::vector<AttemptReport> runs;
  Millis leavesMs = -1;
  Millis wallMs = 0;
  bool takesSharedSpecs = false;  // orders may give a spec once for all attempts that have it
  MSGPACK_DEFINE(agent, zone, worker, workerIncarnation, workerHeard, workerAgeMs, pool, labels, slots, capacity,
                 leaving, acked, ordersTerm, ordersSeq, seq, sentMs, runs, leavesMs, wallMs, takesSharedSpecs)
};

struct WantedAttempt {
  AttemptId id;
  bool stop = false;
  std::string spec;
  std::string workerIncarnation;
  std::string saved = {};
  bool whole = false;  // spec and saved are given; not so once the agent lists the run
  MSGPACK_DEFINE(id, stop, spec, workerIncarnation, saved, whole)
};

/// A spec that several wanted attempts have, which leave theirs empty.
struct SharedSpec {
  std::string spec;
  std::vector<std::uint32_t> attempts;  // their places among the wanted ones
  MSGPACK_DEFINE(spec, attempts)
};

struct Orders {
  Ballot term;
  std::uint64_t seq = 0;
  DaemonId agent;
  std::uint64_t acknowledgedSeq = 0;
  Millis acknowledgedMs = 0;
  Version configVersion = 0;
  Millis fleetMs = 0;
  std::vector<WantedAttempt> wanted;
  // Only to agents whose reports say that they take them:
  std::vector<SharedSpec> sharedSpecs;
  std::vector<AttemptId> deferred;  // are wanted too; what is needed to start them comes with later orders
  MSGPACK_DEFINE(term, seq, agent, acknowledgedSeq, acknowledgedMs, configVersion, fleetMs, wanted, sharedSpecs,
                 deferred)
};

enum class CallKind : std::uint8_t { submit, getJob, cancelJob, countPending };

struct CallAsk {
  std::uint64_t requestId = 0;
  CallKind call = CallKind::getJob;
  QueueName pending;
  JobId job;
  std::string spec;
  Version configVersion = 0;
  CallId id{};
  MSGPACK_DEFINE(requestId, call, pending, job, spec, configVersion, id)
};

struct CallAnswer {
  std::uint64_t requestId = 0;
  std::int64_t kind = 0;
  std::uint8_t phase = 0;
  std::int64_t count = 0;
  Millis retryMs = 0;
  CallId id{};  // of the call that is answered
  MSGPACK_DEFINE(requestId, kind, phase, count, retryMs, id)
};

// Asks the addressee to show that it runs now; see peer_incarnations.hpp.
struct IncarnationProbe {
  std::uint64_t number = 0;
  MSGPACK_DEFINE(number)
};

struct IncarnationProof {
  std::uint64_t number = 0;  // of the probe that is answered
  MSGPACK_DEFINE(number)
};

// Asks a replica to propose a change of the configuration for the sender. The whole value of the register, which the
// rounds carry to and from every voter, then never passes the sender's link. Sent only to a replica whose grants say
// that it takes edits.
struct EditAsk {
  EditId id;
  Millis deadlineMs = 0;  // from when it was sent
  bool whole = false;
  std::string body;
  std::optional<Version> expected;
  std::string name;
  bool sections = false;
  Version operatorVersion = 0;
  std::optional<Version> basedOn;
  std::string zone;  // of an order to empty a zone or to take it back; empty: it is none
  bool zoneEmptied = false;
  Version zoneMadeOn = 0;
  MSGPACK_DEFINE(id, deadlineMs, whole, body, expected, name, sections, operatorVersion, basedOn, zone, zoneEmptied,
                 zoneMadeOn)
};

struct EditAnswer {
  EditId id;  // of the edit that is answered
  std::int64_t kind = 0;
  std::int64_t status = 0;
  std::string body;  // empty: the asker words the answer
  MSGPACK_DEFINE(id, kind, status, body)
};

// Asks for a piece of a configuration that a grant left out.
struct ConfigAsk {
  Version version = 0;
  Version has = 0;  // the version whose text the asker has
  std::uint64_t offset = 0;
  std::uint64_t mostBytes = 0;
  MSGPACK_DEFINE(version, has, offset, mostBytes)
};

// Answers it. Another version than the one asked for is given from its beginning, where that one is no longer had.
struct ConfigPiece {
  Version version = 0;
  Version base = 0;  // the content is a delta to the text of this version; 0: the whole text
  std::uint64_t textDigest = 0;
  std::uint64_t totalBytes = 0;  // of the content
  std::uint64_t offset = 0;
  std::string bytes;
  MSGPACK_DEFINE(version, base, textDigest, totalBytes, offset, bytes)
};

using Message =
    std::variant<SessionHeartbeat, SessionGrant, RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted,
                 RegisterChosen, AckQuery, AckState, JobLogPrepare, JobLogPromise, JobLogAccept, JobLogAccepted, Resign,
                 ReplicaHeartbeat, BootstrapProposal, CatchUpAsk, CatchUpGive, AgentReport, Orders, CallAsk, CallAnswer,
                 Referral, IncarnationProbe, IncarnationProof, EditAsk, EditAnswer, ConfigAsk, ConfigPiece>;

struct Frame {
  std::uint32_t version = kProtocolVersion;
  DaemonId fromId;
  Address from;
  Address to;
  Message message;
  Incarnation fromIncarnation = {};
  Incarnation toIncarnation = {};  // where the sender knows one
};

/// The lowest protocol version whose readers understand the message, so that a fleet can be upgraded, and taken back, a
/// daemon at a time.
std::uint32_t protocolVersionOf(const Message& message);
std::string encode(const Frame& frame);
enum class Decoded { ok, malformed, foreignVersion };
/// What unpacks to more than `mostBytes` is malformed.
Decoded decode(std::string_view bytes, Frame& frame, std::size_t mostBytes = kAnyUnpackedBytes);

}  // namespace tulip::transport
MSGPACK_ADD_ENUM(tulip::transport::AttemptState)
MSGPACK_ADD_ENUM(tulip::transport::AttemptOutcome)
MSGPACK_ADD_ENUM(tulip::transport::CallKind)
