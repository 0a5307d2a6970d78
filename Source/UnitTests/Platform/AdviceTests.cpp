#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/HttpServer.h"
#include "UnitTests/Support/FreeAddress.h"
#include "platform/AdviceClient.h"
#include "platform/Json.h"

using namespace std::chrono_literals;

namespace {

/// Stand-in for the advice service that answers every call with mStatus and mBody.
class AdviceServiceFixture
{
public:
  AdviceServiceFixture()
    : mServer(mIo, {}, [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
      mLastRequest = aRequest;
      aRespond({ mStatus, mBody, {} });
    })
  {
    REQUIRE(mServer.listen(mAddress));
  }

  /// Calls the service through the client and returns the parsed answer.
  std::optional<Scheduling::Advice> requestAdvice()
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
  Net::HttpRequest mLastRequest;
  unsigned mStatus = 200;
  std::string mBody = R"({"granted":[["i-1","c81e-7a"]],"valid_ms":3000})";

private:
  Net::HttpServer mServer;
};

} // namespace

TEST_CASE("The advice client requests tickets for a step on some workers", "[Platform]")
{
  AdviceServiceFixture service;

  SECTION("the request names the step without the index of the task")
  {
    service.requestAdvice();
    REQUIRE(service.mLastRequest.mTarget == "/-/advise");
    const auto body = Platform::ParseObject(service.mLastRequest.mBody);
    REQUIRE(body->at("step") == "5c0e7a21d94b36f8.2.1");
    REQUIRE(body->at("workers").size() == 2);
  }

  SECTION("the answer contains a ticket for each worker that may run the step")
  {
    const auto advice = service.requestAdvice();
    REQUIRE(advice);
    REQUIRE(advice->mTicketLifetime == 3s);
    REQUIRE(advice->mGrants.size() == 1);
    REQUIRE(advice->mGrants[0].mWorker.str() == "i-1");
    REQUIRE(advice->mGrants[0].mTicket == "c81e-7a");
  }

  SECTION("malformed grants are skipped")
  {
    service.mBody = R"({"granted":[["i-1"],7,["i-2","t"]]})";
    const auto advice = service.requestAdvice();
    REQUIRE(advice);
    REQUIRE(advice->mGrants.size() == 1);
  }

  SECTION("a rejected call or a malformed answer yields no advice")
  {
    service.mStatus = 429;
    REQUIRE_FALSE(service.requestAdvice());
    service.mStatus = 200;
    service.mBody = "[";
    REQUIRE_FALSE(service.requestAdvice());
  }
}
