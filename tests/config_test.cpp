#include <CppUTest/TestHarness.h>

#include <unistd.h>
#include <fstream>

#include "base/settings.hpp"
#include "commands/commands.hpp"
#include "config/config.hpp"
#include "jobs/job.hpp"

using namespace tulip;

namespace {

std::string firstFault(const char* text) {
  config::Config made;
  std::vector<config::Fault> faults;
  config::readConfigText(text, made, faults);
  return faults.empty() ? "" : faults[0].path;
}

config::Config plainConfig() {
  config::Config made;
  std::vector<config::Fault> faults;
  config::readConfigText(R"({"pendings":{"gate":{"quotaSlots":12}},"pools":{"side":{"slots":8,"workers":2}}})", made,
                         faults);
  return made;
}

jobs::Verdict verdictOf(const std::string& tasks, const std::string& more = "") {
  jobs::Spec job;
  return jobs::readSpec(R"({"id":"j","pending":"gate")" + more + R"(,"tasks":)" + tasks + "}", plainConfig(), job);
}

}  // namespace

TEST_GROUP(config){};

TEST(config, every_fault_is_named_by_its_path) {
  STRCMP_EQUAL("", firstFault("{}").c_str());
  STRCMP_EQUAL("/pendings/gate/rnak", firstFault(R"({"pendings":{"gate":{"rnak":1}}})").c_str());
  STRCMP_EQUAL("/pendings/gate/failureLimit", firstFault(R"({"pendings":{"gate":{"failureLimit":0}}})").c_str());
  STRCMP_EQUAL("/admission/thresholdsMs", firstFault(R"({"admission":{"lanes":3,"thresholdsMs":[5]}})").c_str());
  STRCMP_EQUAL("/admission/thresholdsMs/1", firstFault(R"({"admission":{"lanes":3,"thresholdsMs":[5,5]}})").c_str());
  STRCMP_EQUAL("/admission/promoteKnob", firstFault(R"({"admission":{"promoteKnob":0}})").c_str());
  STRCMP_EQUAL("/admission/mostLoss", firstFault(R"({"admission":{"mostLoss":-0.1}})").c_str());
  STRCMP_EQUAL("/admission/without", firstFault(R"({"admission":{"without":"moves"}})").c_str());
  STRCMP_EQUAL("/admission/without/1", firstFault(R"({"admission":{"without":["moves","unknown"]}})").c_str());
  STRCMP_EQUAL("", firstFault(R"({"admission":{"without":["moves","rackWait","peerPace"]}})").c_str());
  STRCMP_EQUAL("/", firstFault(R"({"cells":{},"cells":{}})").c_str());
}

TEST(config, what_a_line_and_a_pool_say_for_callers_from_elsewhere_is_checked) {
  STRCMP_EQUAL(
      "",
      firstFault(
          R"({"edition":7,"origin":{"any":[1,{"thing":null}]},"pools":{"p":{"slots":0,"guards":true,"place":2,"asSent":{"x":1}}},
    "pendings":{"a":{"host":"h","prefix":"/x/","pool":"p","aimMs":2000,"stretch":2.2,"place":1,"asSent":{"name":"r","deep":{"er":[]}}},
                "b":{"host":"h","prefix":"/y/","stretch":3},"c":{"host":"g","prefix":"/x/"},"d":{},"e":{}}})")
          .c_str());
  STRCMP_EQUAL("/pendings/b/prefix",
               firstFault(R"({"pendings":{"a":{"host":"h","prefix":"/x/"},"b":{"host":"h","prefix":"/x/"}}})").c_str());
  STRCMP_EQUAL("/pendings/a/pool", firstFault(R"({"pools":{"q":{}},"pendings":{"a":{"pool":"p"}}})").c_str());
  STRCMP_EQUAL("/pendings/a/stretch", firstFault(R"({"pendings":{"a":{"stretch":-0.5}}})").c_str());
  STRCMP_EQUAL("/pendings/a/aimMs", firstFault(R"({"pendings":{"a":{"aimMs":1.5}}})").c_str());
  STRCMP_EQUAL("/pendings/a/asSent", firstFault(R"({"pendings":{"a":{"asSent":3}}})").c_str());
  STRCMP_EQUAL("/pools/p/slots", firstFault(R"({"pools":{"p":{"slots":-1}}})").c_str());
  STRCMP_EQUAL("/edition", firstFault(R"({"edition":-1})").c_str());
  STRCMP_EQUAL("/origin", firstFault(R"({"origin":"text"})").c_str());
  STRCMP_EQUAL("/pendings/a b", firstFault(R"({"pendings":{"a b":{}}})").c_str());
}

TEST(config, a_delta_between_two_texts_gives_the_next_and_fits_no_other_base) {
  std::string base = R"({"edition":1,"pendings":{)";
  for (int i = 0; i < 300; ++i)
    base += (i ? "," : "") + std::string("\"line-") + std::to_string(i) + R"(":{"asSent":{"name":"r"},"rank":)" +
            std::to_string(i % 7) + "}";
  base += "}}";
  auto next = base;
  next.replace(next.find("\"edition\":1"), 11, "\"edition\":25");
  const auto gone = next.find("\"line-40\"");
  next.erase(gone, next.find("\"line-41\"") - gone);
  next.insert(next.find("\"line-200\""), R"("line-1990":{"rank":-3},)");
  const auto delta = config::makeDelta(base, next);
  CHECK(!delta.empty() && delta.size() < 300);
  CHECK(config::applyDelta(base, delta) == next);
  CHECK(config::applyDelta(next, delta).empty());
  CHECK(config::applyDelta(base, delta.substr(1)).empty());
  CHECK(config::makeDelta("{}", base).empty());
}

TEST(config, a_merge_patch_changes_only_what_it_names) {
  Json base = parseJson(R"({"cells":{"a":{"emptied":false},"b":{"emptied":true}}})");
  Json patch = parseJson(R"({"cells":{"a":{"emptied":true},"b":null}})");
  STRCMP_EQUAL(R"({"cells":{"a":{"emptied":true}}})",
               dumpJson(config::mergePatch(base.get(), patch.get()).get()).c_str());
}

TEST(config, a_stored_configuration_keeps_its_requests) {
  config::Stored stored{7, R"({"cells":{}})", {{"t1", 6}, {"t2", 7}}, {{5, 55, 6}}, 4, {{66, 1}}, {{"z", true, 7}}};
  const auto again = config::readStored(config::writeStored(stored));
  LONGS_EQUAL(7, again.version);
  STRCMP_EQUAL(stored.text.c_str(), again.text.c_str());
  CHECK(again.requests == stored.requests);
  CHECK(again.orders == stored.orders);
  LONGS_EQUAL(4, again.forgottenOrders);
  CHECK(again.rejected == stored.rejected);
  CHECK(again.zoneMarks == stored.zoneMarks);
}

TEST(config, a_job_that_can_not_be_is_rejected_by_field) {
  CHECK(verdictOf(R"([{"name":"a"}])").kind == Kind::ok);
  CHECK(verdictOf(R"([{"name":"a","after":["b"]},{"name":"b","after":["a"]}])").kind == Kind::cycle);
  CHECK(verdictOf(R"([{"name":"a","slots":9}])").kind == Kind::neverFits);
  CHECK(
      verdictOf(R"([{"name":"a","slots":5},{"name":"b","slots":5},{"name":"c","slots":5}])", R"(,"gang":true)").kind ==
      Kind::neverFits);
  CHECK(verdictOf(R"([{"name":"a","slots":7},{"name":"b","slots":7}])", R"(,"gang":true)").kind == Kind::neverFits);
  CHECK(verdictOf(R"([{"name":"a","slots":7},{"name":"b","slots":7}])").kind == Kind::ok);
  STRCMP_EQUAL("/tasks/0/slots", verdictOf(R"([{"name":"a","slots":0}])").field.c_str());
  STRCMP_EQUAL("/tasks/0/size", verdictOf(R"([{"name":"a","size":1}])").field.c_str());
  STRCMP_EQUAL("/tasks/1/name", verdictOf(R"([{"name":"a"},{"name":"a"}])").field.c_str());
  STRCMP_EQUAL("/cutoffMs", verdictOf(R"([{"name":"a"}])", R"(,"cutoffMs":-1)").field.c_str());
  CHECK(verdictOf("[]").kind == Kind::badValue);
}

TEST(config, settings_name_file_key_and_what_is_allowed) {
  const std::string path = "/tmp/tulip-env-" + std::to_string(getpid()) + ".json";
  Settings settings;
  SettingsFault fault;
  auto with = [&](const char* text) {
    std::ofstream(path) << text;
    return readSettings(Role::scheduler, {{"env-file", path}}, settings, fault);
  };
  const std::string good =
      R"("signal":"127.0.0.1:7001","http":"127.0.0.1:7002","cell":"a","seeds":["127.0.0.1:1","127.0.0.1:2","127.0.0.1:3"])";
  CHECK(with(("{" + good + "}").c_str()));
  CHECK_FALSE(with(("{" + good + R"(,"term":5})").c_str()));
  STRCMP_EQUAL("term", fault.key.c_str());
  CHECK_FALSE(with(("{" + good + R"(,"term-ms":5})").c_str()));
  STRCMP_EQUAL((path + ": term-ms: allowed is a whole number from 200 to 60000").c_str(), faultLine(fault).c_str());
  CHECK_FALSE(with(("{" + good + R"(,"metrics":"metrics"})").c_str()));
  STRCMP_EQUAL("metrics", fault.key.c_str());
  CHECK(with(("{" + good + R"(,"metrics":"9100/figures","link-kbps":2000})").c_str()));
  STRCMP_EQUAL("/figures", settings.metricsPath.c_str());
  STRCMP_EQUAL("127.0.0.1:9100", settings.faces.back().at.value.c_str());
  LONGS_EQUAL(2000, settings.linkKbps);
  CHECK_FALSE(with(R"({"signal":"localhost:7001"})"));
  STRCMP_EQUAL("signal", fault.key.c_str());
  CHECK_FALSE(with("{"));
  std::ofstream(path) << "{" + good + R"(,"term-ms":2000})";
  CHECK(readSettings(Role::scheduler, {{"env-file", path}, {"term-ms", "900"}}, settings, fault));
  LONGS_EQUAL(900, settings.bounds.leaseMs);
  CHECK_FALSE(readSettings(Role::replica, {{"env-file", path}}, settings, fault));
  STRCMP_EQUAL("data-folder", fault.key.c_str());
  ::unlink(path.c_str());
}

TEST(config, an_unknown_flag_ends_with_exit_code_2) {
  std::vector<std::string> words{"ctl", "--bogus", "leader"};
  std::vector<char*> args;
  for (auto& word : words) args.push_back(word.data());
  LONGS_EQUAL(2, commands::runCtl(3, args.data()));
  words = {"local-cluster", "--cells", "many"};
  args.clear();
  for (auto& word : words) args.push_back(word.data());
  LONGS_EQUAL(2, commands::runLocalCluster(3, args.data()));
}
