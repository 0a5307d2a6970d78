#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/HttpServer.h"
#include "UnitTests/Support/FreeAddress.h"
#include "platform/AdviceClient.h"
#include "platform/Json.h"

using namespace std::chrono_literals;

namespace {

/// The advice service, which answers every call with the same bytes.
class AdviceTest
{
public:
  AdviceTest()
    : mServer(mIo, {}, [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
      mAsked = aRequest;
      aRespond({ mStatus, mBody, {} });
    })
  {
    REQUIRE(mServer.listen(mAddress));
  }

  /// What the client makes of the answer.
  std::optional<Scheduling::Advice> ask()
  {
    const auto client = Platform::MakeAdviceClient(mIo, mAddress);
    std::optional<Scheduling::Advice> advice;
    bool done = false;
    client->requestAdvice({ Common::JobId("5c0e7a21d94b36f8"), 2, 1, 0 },
                          { Common::WorkerId("i-1"), Common::WorkerId("i-2") },
                          1s,
                          [&](std::optional<Scheduling::Advice> aAdvice) {
                            advice = std::move(aAdvice);
                            done = true;
                          });
    while (!done) {
      mIo.run_one_for(1s);
    }
    return advice;
  }

  boost::asio::io_context mIo;
  const std::string mAddress = TestSupport::FreeAddress(mIo);
  Net::HttpRequest mAsked;
  unsigned mStatus = 200;
  std::string mBody = R"({"granted":[["i-1","c81e-7a"]],"valid_ms":3000})";

private:
  Net::HttpServer mServer;
};

} // namespace

TEST_CASE("The advice service is asked about a step and some workers", "[Platform]")
{
  AdviceTest test;

  SECTION("the question names the step without the task")
  {
    test.ask();
    REQUIRE(test.mAsked.mTarget == "/-/advise");
    const auto body = Platform::ParseObject(test.mAsked.mBody);
    REQUIRE(body->at("step") == "5c0e7a21d94b36f8.2.1");
    REQUIRE(body->at("workers").size() == 2);
  }

  SECTION("the answer holds a ticket for each worker that may run it")
  {
    const auto advice = test.ask();
    REQUIRE(advice);
    REQUIRE(advice->mTicketLifetime == 3s);
    REQUIRE(advice->mGrants.size() == 1);
    REQUIRE(advice->mGrants[0].mWorker.str() == "i-1");
    REQUIRE(advice->mGrants[0].mTicket == "c81e-7a");
  }

  SECTION("rows that cannot be read are skipped")
  {
    test.mBody = R"({"granted":[["i-1"],7,["i-2","t"]]})";
    const auto advice = test.ask();
    REQUIRE(advice);
    REQUIRE(advice->mGrants.size() == 1);
  }

  SECTION("a call that was turned away, or an answer that cannot be read, is none")
  {
    test.mStatus = 429;
    REQUIRE_FALSE(test.ask());
    test.mStatus = 200;
    test.mBody = "[";
    REQUIRE_FALSE(test.ask());
  }
}
