#include <catch2/catch.hpp>

#include "Node/WireConversion.h"
#include "Scheduling/Schedule.h"
#include "Store/StorePort.h"
#include "UnitTests/Scheduling/Fixture.h"
#include "Wire/Codec.h"

using namespace Node;

TEST_CASE("The record of the learned models fits into a value of the store", "[Node]")
{
  // A write with a larger value is refused, and the records of all jobs with it.
  Scheduling::SchedulerState state;
  const std::string longest(Scheduling::kMaxLearnedNameBytes - 5, 'i');
  for (std::size_t i = 0; i < Scheduling::kMaxLearnedImages; ++i) {
    const std::string image = longest + std::to_string(i);
    state.mRunTimes[{ Common::RouteId("quote"), image }] = { 1.5, 3 };
    state.mTailInterference.mLowestTailMs[image] = 10.0;
    state.mTailInterference.mMeanPressures[image] = 0.1;
    state.mTailInterference.mPairPressures[{ image, image }] = 0.1;
  }
  const std::string record = Wire::Encode(ToModelRecord(state));
  REQUIRE(static_cast<std::int64_t>(record.size()) < Store::kMaxValue.value());

  SECTION("and holds what it has room for")
  {
    Scheduling::SchedulerState next;
    RestoreModel(next, *Wire::Decode<Wire::ModelRecord>(record));
    REQUIRE(next.mRunTimes.size() > 1'000);
    REQUIRE(next.mRunTimes.begin()->second.mRatio == 1.5);
  }
}
