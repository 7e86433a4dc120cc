#include "http/call_policy.hpp"

#include <CppUTest/TestHarness.h>

using namespace tulip;
using http::CallClass;
using http::Loss;

TEST_GROUP(call_policy){};

TEST(call_policy, each_class_has_one_row_that_says_why) {
  for (int at = 0; at <= static_cast<int>(CallClass::other); ++at) {
    int rows = 0;
    for (const auto& policy : http::callPolicies()) rows += policy.call == static_cast<CallClass>(at);
    LONGS_EQUAL(1, rows);
  }
  for (const auto& policy : http::callPolicies()) CHECK_FALSE(policy.reason.empty());
}

TEST(call_policy, which_calls_may_be_sent_again_after_what) {
  struct Case {
    CallClass call;
    bool afterDeparture;
  };
  const Case cases[] = {{CallClass::read, true},           {CallClass::submitJob, true},
                        {CallClass::cancelJob, true},      {CallClass::namedChange, true},
                        {CallClass::unnamedChange, false}, {CallClass::workerReport, false},
                        {CallClass::other, false}};
  for (const auto& each : cases) {
    CHECK(http::mayRepeat(each.call, Loss::unreached));
    for (const auto loss :
         {Loss::reset, Loss::silence, Loss::leaderMoved, Loss::badGateway, Loss::unavailable, Loss::gatewayTimeout})
      CHECK(http::mayRepeat(each.call, loss) == each.afterDeparture);
    CHECK_FALSE(http::mayRepeat(each.call, Loss::answered));
  }
}

TEST(call_policy, a_call_without_an_answer_is_never_told_as_refused) {
  for (const auto& policy : http::callPolicies()) {
    CHECK(http::kindWithoutAnswer(policy.call, false) == Kind::noLeader);
    const auto kind = http::kindWithoutAnswer(policy.call, true);
    CHECK(kind == (policy.changes ? Kind::unknownOutcome : Kind::deadlinePassed));
  }
}

TEST(call_policy, a_call_that_is_given_up_is_told_as_not_done_only_when_that_is_known) {
  for (const auto& policy : http::callPolicies()) {
    CHECK(http::kindOfGivenUp(policy.call, false) == Kind::noLeader);
    CHECK(http::kindOfGivenUp(policy.call, true) == (policy.changes ? Kind::unknownOutcome : Kind::noLeader));
  }
}

TEST(call_policy, a_refusal_is_no_last_word_while_another_copy_may_arrive) {
  for (const auto refusal :
       {Kind::overloaded, Kind::noSuchQueue, Kind::noLeader, Kind::notReady, Kind::forwardLoop, Kind::neverFits})
    CHECK(http::kindAfterRepeat(CallClass::submitJob, refusal) == Kind::unknownOutcome);
  for (const auto definite : {Kind::ok, Kind::idTaken, Kind::malformed})
    CHECK(http::kindAfterRepeat(CallClass::submitJob, definite) == definite);
  CHECK(http::kindAfterRepeat(CallClass::cancelJob, Kind::noSuchJob) == Kind::noSuchJob);
  CHECK(http::kindAfterRepeat(CallClass::read, Kind::noSuchJob) == Kind::noSuchJob);
  CHECK(http::kindAfterRepeat(CallClass::read, Kind::overloaded) == Kind::overloaded);
}

TEST(call_policy, calls_of_the_own_interface_find_their_class) {
  struct Case {
    const char* method;
    const char* path;
    bool named;
    CallClass call;
  };
  const Case cases[] = {{"GET", "/jobs/a", false, CallClass::read},
                        {"POST", "/jobs", false, CallClass::submitJob},
                        {"DELETE", "/jobs/a", false, CallClass::cancelJob},
                        {"POST", "/jobs/a/cancel", false, CallClass::cancelJob},
                        {"PUT", "/configuration", true, CallClass::namedChange},
                        {"PATCH", "/configuration", false, CallClass::unnamedChange},
                        {"POST", "/worker/report", false, CallClass::workerReport},
                        {"POST", "/else", true, CallClass::other}};
  for (const auto& each : cases) CHECK(http::classOfOwnCall(each.method, each.path, each.named) == each.call);
  CHECK(http::classOfAdapterCall("GET") == CallClass::read);
  CHECK(http::classOfAdapterCall("POST") == CallClass::other);
}

TEST(call_policy, statuses_that_are_no_last_word) {
  CHECK(http::lossOf(502) == Loss::badGateway);
  CHECK(http::lossOf(503) == Loss::unavailable);
  CHECK(http::lossOf(504) == Loss::gatewayTimeout);
  for (const int status : {200, 201, 400, 404, 409, 412, 422, 500}) CHECK(http::lossOf(status) == Loss::answered);
}
