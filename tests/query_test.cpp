#include <CppUTest/TestHarness.h>

#include "query/query.hpp"
#include "transport/messages.hpp"

using namespace tulip;

TEST_GROUP(query) {
  Json snapshot;
  query::Table table;
  std::string detail;
  void setup() override {
    snapshot = parseJson(
        R"({"jobs":[{"id":"a","pending":"gate","state":"finished"},{"id":"b","pending":"gate","state":"running"}],
      "tasks":[{"job":"a","name":"t","slots":2},{"job":"b","name":"t","slots":3}],"workers":[{"worker":"w1","slots":8}],
      "members":[],"configuration":{"admission":{"rule":"las"}}})");
  }
  std::error_code ask(const char* sql, query::Bounds bounds = {}) {
    table = {};
    return query::query(snapshot.get(), sql, table, detail, bounds);
  }
};

TEST(query, it_answers_joins_and_sums) {
  CHECK_FALSE(static_cast<bool>(ask(
      "SELECT j.state, sum(t.slots) AS slots FROM jobs j JOIN tasks t ON t.job = j.id GROUP BY j.state ORDER BY 1")));
  LONGS_EQUAL(2, table.rows.size());
  STRCMP_EQUAL("slots", table.columns[1].c_str());
  STRCMP_EQUAL("3", table.rows[1][1].c_str());
  CHECK_FALSE(static_cast<bool>(ask("SELECT value FROM configuration WHERE path = '/admission/rule'")));
  STRCMP_EQUAL("las", table.rows.at(0).at(0).c_str());
}

TEST(query, writes_and_bad_statements_are_rejected) {
  for (const char* sql :
       {"DELETE FROM jobs", "UPDATE jobs SET state='x'", "DROP TABLE jobs", "INSERT INTO jobs(id) VALUES('x')",
        "PRAGMA user_version=3", "ATTACH ':memory:' AS other", "CREATE TABLE x(a)", "SELECT 1; DELETE FROM jobs",
        "SELEKT 1", "SELECT * FROM nowhere", "", "SELECT load_extension('x')", "VACUUM INTO '/tmp/x'"})
    CHECK(ask(sql) == make_error_code(Kind::badValue));
}

TEST(query, an_overlong_run_is_rejected) {
  CHECK(ask("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT count(*) FROM n", {100000, 10}) ==
        make_error_code(Kind::tooLarge));
  CHECK(ask("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n LIMIT 50) SELECT i FROM n", {100000, 10}) ==
        make_error_code(Kind::tooLarge));
}

namespace {
struct OldWanted {
  AttemptId id;
  bool stop;
  std::string spec;
  MSGPACK_DEFINE(id, stop, spec)
};
}  // namespace

TEST_GROUP(codec){};

TEST(codec, an_unknown_version_is_committed_apart_and_names_its_sender) {
  transport::Frame frame{transport::kProtocolVersion + 1, DaemonId("newer"), Address("10.0.0.1:1"),
                         Address("10.0.0.2:1"), transport::Resign{{7, "p"}}};
  transport::Frame read;
  CHECK(transport::decode(transport::encode(frame), read) == transport::Decoded::foreignVersion);
  STRCMP_EQUAL("newer", read.fromId.value.c_str());
  frame.version = transport::kProtocolVersion;
  CHECK(transport::decode(transport::encode(frame), read) == transport::Decoded::ok);
  CHECK(std::get<transport::Resign>(read.message).term == (Ballot{7, "p"}));
}

TEST(codec, a_message_from_before_a_field_was_added_is_read) {
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, OldWanted{AttemptId("r"), true, "s"});
  const auto read = msgpack::unpack(bytes.data(), bytes.size()).get().as<transport::WantedAttempt>();
  CHECK(read.stop);
  STRCMP_EQUAL("r", read.id.value.c_str());
  CHECK(read.workerIncarnation.empty());
}

namespace {
struct OldCallAsk {
  std::uint64_t requestId;
  transport::CallKind call;
  MSGPACK_DEFINE(requestId, call)
};
}  // namespace

TEST(codec, frames_name_both_incarnations_and_those_of_version_2_name_none) {
  transport::Frame frame{transport::kProtocolVersion, DaemonId("d"),  Address("a"),  Address("b"),
                         transport::Resign{{7, "p"}}, Incarnation{5}, Incarnation{6}};
  transport::Frame read;
  CHECK(transport::decode(transport::encode(frame), read) == transport::Decoded::ok);
  LONGS_EQUAL(5, read.fromIncarnation.value);
  LONGS_EQUAL(6, read.toIncarnation.value);
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> packer(bytes);
  packer.pack_array(6);
  packer.pack(2);
  packer.pack(frame.message.index());
  packer.pack(frame.fromId);
  packer.pack(frame.from);
  packer.pack(frame.to);
  packer.pack(std::get<transport::Resign>(frame.message));
  transport::Frame old;
  CHECK(transport::decode({bytes.data(), bytes.size()}, old) == transport::Decoded::ok);
  CHECK(old.fromIncarnation == Incarnation{} && old.toIncarnation == Incarnation{});
  CHECK(std::get<transport::Resign>(old.message).term == (Ballot{7, "p"}));
}

TEST(codec, each_message_is_sent_as_the_first_version_that_has_it) {
  LONGS_EQUAL(2, transport::protocolVersionOf(transport::Resign{}));
  LONGS_EQUAL(2, transport::protocolVersionOf(transport::ReplicaHeartbeat{}));
  LONGS_EQUAL(3, transport::protocolVersionOf(transport::IncarnationProbe{}));
  LONGS_EQUAL(3, transport::protocolVersionOf(transport::IncarnationProof{}));
  LONGS_EQUAL(4, transport::protocolVersionOf(transport::EditAsk{}));
  LONGS_EQUAL(4, transport::protocolVersionOf(transport::EditAnswer{}));
  LONGS_EQUAL(5, transport::protocolVersionOf(transport::ConfigAsk{}));
  LONGS_EQUAL(5, transport::protocolVersionOf(transport::ConfigPiece{}));
}

TEST(codec, a_call_of_version_2_keeps_its_number_and_names_no_incarnation) {
  msgpack::sbuffer bytes;
  msgpack::pack(bytes, OldCallAsk{42, transport::CallKind::cancelJob});
  const auto old = msgpack::unpack(bytes.data(), bytes.size()).get().as<transport::CallAsk>();
  LONGS_EQUAL(42, old.requestId);
  CHECK(old.id == CallId{} && old.call == transport::CallKind::cancelJob);
  transport::CallAsk ask;
  ask.requestId = 43;
  ask.id = {Incarnation{9}, 43};
  msgpack::sbuffer packed;
  msgpack::pack(packed, ask);
  CHECK(msgpack::unpack(packed.data(), packed.size()).get().as<transport::CallAsk>().id == ask.id);
  const auto asOld = msgpack::unpack(packed.data(), packed.size()).get().as<OldCallAsk>();
  LONGS_EQUAL(43, asOld.requestId);
}

TEST(codec, damaged_frames_are_never_believed) {
  const auto whole = transport::encode(
      {transport::kProtocolVersion, DaemonId("d"), Address("a"), Address("b"), transport::AckQuery{3, 4}});
  transport::Frame read;
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    CHECK(transport::decode(std::string_view(whole).substr(0, cut), read) == transport::Decoded::malformed);
  std::string wild = whole;
  for (std::size_t at = 0; at < wild.size(); ++at) {
    auto bytes = wild;
    bytes[at] = static_cast<char>(0xc1);
    CHECK(transport::decode(bytes, read) != transport::Decoded::ok || read.fromId.value.size() == 1);
  }
}
