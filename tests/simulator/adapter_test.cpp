// Tests of the adapter through its text protocol: batches in, replies and error messages out.
#include "simulator/adapter.h"

#include <gtest/gtest.h>

#include <string>

namespace opalroute::simulator {
namespace {

const std::string kOptions = R"({"az":"a","balancers":1,"classes":[{"aimS":3,"deadlineS":16,
 "effect":"idempotent","lateShare":0.4,"name":"order","stream":false,"worth":1}],"discovery":"push","newKey":5,
 "familyInfo":{"bundleMax":[1],"callsOut":4,"late":"even","routesApart":[false]},"kinds":["bank"],
 "limits":{"cancel":true,"mostTries":8,"openCap":40,"retryAfter":true,"maxRetryAfterS":3,"secondCopies":true},
 "rules":{"answerSlackS":0.02,"coldFrom":0.2,"drainGraceS":1,"overloadFactor":2,"overloadForS":3,"rampTimeS":14},
 "tickS":0.005,"weightKind":"none","zones":["a","b"]})";

std::string OneLine(std::string text) {
  for (char& c : text) {
    if (c == '\n') c = ' ';
  }
  return text;
}

std::string Attach(const std::string& who) {
  return OneLine(R"({"type":"ATTACH","who":")" + who + R"(","prng":5,"options":)" + kOptions + "}") + "," +
         R"({"type":"MANIFEST","sheet":0,"records":[{"endpoint":"e-1","dc":"a","kind":"bank","destination":7,)" +
         R"("mode":"in_service","rating":1}]},{"type":"MEMBERS","who":")" + who +
         R"(","scope":"remembered","version":1,"sheet":0})";
}

std::string Batch(const std::string& time, const std::string& events) {
  return R"({"tsS":)" + time + R"(,"in":[)" + events + "]}";
}

std::string Inbound(const std::string& who, const std::string& id) {
  return R"({"type":"INBOUND","who":")" + who + R"(","corr":")" + id +
         R"(","grade":"order","patienceLeftS":16,"destination":7})";
}

std::string ErrorOf(Adapter& adapter, const std::string& line) {
  try {
    adapter.Reply(line);
  } catch (const InputError& error) {
    return error.what();
  }
  return "";
}

TEST(AdapterTest, AnEmptyBatchGetsAnEmptyReply) {
  Adapter adapter;
  EXPECT_EQ(adapter.Reply(Batch("1", "")), R"({"decisions":[]})");
}

TEST(AdapterTest, ARequestIsSentUnderTheSimulatorsNames) {
  Adapter adapter;
  adapter.Reply(Batch("1", Attach("courier-3")));
  const auto reply = nlohmann::json::parse(adapter.Reply(Batch("2", Inbound("courier-3", "r-a"))));
  const auto& first = reply.at("decisions").at(0);
  EXPECT_EQ(first.at("type"), "PLACE");
  EXPECT_EQ(first.at("who"), "courier-3");
  EXPECT_EQ(first.at("corr"), "r-a");
  EXPECT_EQ(first.at("endpoint"), "e-1");
}

TEST(AdapterTest, AnInstanceActsTheSameAloneAndNextToOthers) {
  Adapter alone;
  Adapter shared;
  alone.Reply(Batch("1", Attach("courier-1")));
  shared.Reply(Batch("1", Attach("courier-1") + "," + Attach("courier-2")));
  const std::string other = Inbound("courier-2", "r-x");
  const auto a = nlohmann::json::parse(alone.Reply(Batch("2", Inbound("courier-1", "r-a"))));
  const auto b = nlohmann::json::parse(shared.Reply(Batch("2", Inbound("courier-1", "r-a") + "," + other)));
  for (std::size_t i = 0; i < a.at("decisions").size(); ++i) {
    EXPECT_EQ(a.at("decisions").at(i), b.at("decisions").at(i));
  }
}

TEST(AdapterTest, AKilledInstanceForgetsItsRequests) {
  Adapter adapter;
  adapter.Reply(Batch("1", Attach("courier-1")));
  adapter.Reply(Batch("2", Inbound("courier-1", "r-a")));
  adapter.Reply(
      Batch("3", R"({"type":"CRASH_NOW","who":"courier-1"})" + std::string(",") + Attach("courier-1")));
  const auto late = R"({"type":"RESULT","who":"courier-1","corr":"r-a","shot":0,"endpoint":"e-1",)"
                    R"("outcome":"completed","durationS":1,"terminal":true})";
  EXPECT_EQ(ErrorOf(adapter, Batch("4", late)), "");
}

TEST(AdapterTest, AnAbortOfAnUnknownRequestIsIgnored) {
  Adapter adapter;
  adapter.Reply(Batch("1", Attach("courier-1")));
  EXPECT_EQ(ErrorOf(adapter, Batch("2", R"({"type":"ABORTED","who":"courier-1","corr":"r-gone"})")), "");
}

// The client may abort a request in the same batch as the outcome with which the instance ends it.
TEST(AdapterTest, ARequestAbortedInTheBatchThatEndsItIsAnsweredOnce) {
  Adapter adapter;
  std::string attach = Attach("courier-1");
  attach.replace(attach.find("idempotent"), 10, "at_most_once");
  adapter.Reply(Batch("1", attach));
  adapter.Reply(Batch("2", Inbound("courier-1", "r-a")));
  const std::string errored = R"({"type":"RESULT","who":"courier-1","corr":"r-a","shot":0,"endpoint":"e-1",)"
                              R"("outcome":"errored","durationS":1})";
  const std::string aborted = R"({"type":"ABORTED","who":"courier-1","corr":"r-a"})";
  const auto reply = nlohmann::json::parse(adapter.Reply(Batch("3", errored + "," + aborted)));
  std::vector<std::string> answers;
  for (const auto& decision : reply.at("decisions"))
    if (decision.contains("corr")) answers.push_back(decision.at("type"));
  EXPECT_EQ(answers, std::vector<std::string>{"ERROR"});
}

// Guards against a cancellation for a request of a call that already has its outcome: the adapter has
// forgotten the request, and stopped with an error when it looked it up.
TEST(AdapterTest, AnOverdueCallIsCancelledOnlyForItsPendingRequests) {
  Adapter adapter;
  std::string attach = Attach("courier-1");
  attach.replace(attach.find("[1]"), 3, "[2]");
  attach.replace(attach.find("\"callsOut\":4"), 12, "\"callsOut\":1");
  adapter.Reply(Batch("1", attach));
  const auto batch = nlohmann::json::parse(
      adapter.Reply(Batch("2", Inbound("courier-1", "r-a") + "," + Inbound("courier-1", "r-b"))));
  ASSERT_EQ(batch.at("decisions").at(0).at("type"), "PLACE");
  ASSERT_EQ(batch.at("decisions").at(1).at("type"), "PLACE");
  const std::string served = R"({"type":"RESULT","who":"courier-1","corr":"r-a","shot":0,"endpoint":"e-1",)"
                             R"("outcome":"completed","durationS":0.1,"terminal":true})";
  adapter.Reply(Batch("2.1", served));
  std::string reply;
  ASSERT_EQ(ErrorOf(adapter, Batch("17", Inbound("courier-1", "r-c"))), "");
  for (int tick = 0; tick < 3; ++tick) {
    const std::string time = std::to_string(17.1 + tick);
    ASSERT_NO_THROW(reply += adapter.Reply(Batch(time, Inbound("courier-1", "r-d" + std::to_string(tick)))));
  }
  EXPECT_EQ(reply.find("r-a"), std::string::npos);
}

TEST(AdapterTest, InvalidInputIsDescribed) {
  Adapter adapter;
  adapter.Reply(Batch("1", Attach("courier-1")));
  EXPECT_EQ(ErrorOf(adapter, "{"), "invalid JSON at byte 2");
  EXPECT_EQ(ErrorOf(adapter, R"({"in":[]})"), "missing field 'tsS'");
  EXPECT_EQ(ErrorOf(adapter, Batch("2", R"({"type":"HELLO","who":"courier-1"})")),
            "event 0: unknown event 'HELLO'");
  EXPECT_EQ(ErrorOf(adapter, Batch("2", Inbound("courier-9", "r-b"))),
            "event 0: unknown instance 'courier-9'");
  EXPECT_EQ(ErrorOf(adapter, Batch("2", R"({"type":"INBOUND","who":"courier-1","corr":"r-c"})")),
            "event 0: missing field 'grade'");
  EXPECT_EQ(ErrorOf(adapter, Batch("2", R"({"type":"REMINDER","who":"courier-1","label":"x"})")),
            "event 0: field 'label' has the wrong type");
}

}  // namespace
}  // namespace opalroute::simulator
