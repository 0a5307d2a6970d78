#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "Net/HttpServer.h"
#include "UnitTests/Support/FreeAddress.h"
#include "platform/AdviceClient.h"
#include "platform/Json.h"

using namespace std::chrono_literals;

namespace {

/// The advice service, which answers every call with the same bytes.
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

  /// What the client makes of the answer.
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

TEST_CASE("The advice service is asked about a step and some workers", "[Platform]")
{
  AdviceServiceFixture service;

  SECTION("the question names the step without the task")
  {
    service.requestAdvice();
    REQUIRE(service.mLastRequest.mTarget == "/-/advise");
    const auto body = Platform::ParseObject(service.mLastRequest.mBody);
    REQUIRE(body->at("step") == "5c0e7a21d94b36f8.2.1");
    REQUIRE(body->at("workers").size() == 2);
  }

  SECTION("the answer holds a ticket for each worker that may run it")
  {
    const auto advice = service.requestAdvice();
    REQUIRE(advice);
    REQUIRE(advice->mTicketLifetime == 3s);
    REQUIRE(advice->mGrants.size() == 1);
    REQUIRE(advice->mGrants[0].mWorker.str() == "i-1");
    REQUIRE(advice->mGrants[0].mTicket == "c81e-7a");
  }

  SECTION("rows that cannot be read are skipped")
  {
    service.mBody = R"({"granted":[["i-1"],7,["i-2","t"]]})";
    const auto advice = service.requestAdvice();
    REQUIRE(advice);
    REQUIRE(advice->mGrants.size() == 1);
  }

  SECTION("a call that was turned away, or an answer that cannot be read, is none")
  {
    service.mStatus = 429;
    REQUIRE_FALSE(service.requestAdvice());
    service.mStatus = 200;
    service.mBody = "[";
    REQUIRE_FALSE(service.requestAdvice());
  }
}
