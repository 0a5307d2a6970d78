#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "platform/Soak/Plan.h"

namespace {

using namespace Soak;

std::string
FormatPlan(const Plan& aPlan)
{
  std::string text;
  for (const Fault& fault : aPlan) {
    text += std::to_string(fault.mAt.count()) + ' ' + FormatFault(fault) + '\n';
  }
  return text;
}

} // namespace

TEST_CASE("A seed decides the plan")
{
  const Shape shape{ 3, 6, Millis(30'000) };
  CHECK(FormatPlan(MakePlan(Seed{ 7 }, shape)) == FormatPlan(MakePlan(Seed{ 7 }, shape)));
  CHECK(FormatPlan(MakePlan(Seed{ 7 }, shape)) != FormatPlan(MakePlan(Seed{ 8 }, shape)));

  SECTION("whose faults end within the duration and hit processes that are there")
  {
    std::set<FaultKind> kinds;
    bool overlaps = false;
    for (std::int64_t seed = 0; seed < 50; ++seed) {
      const Plan plan = MakePlan(Seed{ seed }, shape);
      CHECK_FALSE(plan.empty());
      for (std::size_t i = 0; i < plan.size(); ++i) {
        const Fault& fault = plan[i];
        kinds.insert(fault.mKind);
        CHECK(fault.mAt + fault.mLength <= shape.mDuration);
        CHECK(fault.mLength > Millis(0));
        CHECK((fault.mEntries.empty() || fault.mEntries.back() < shape.mEntries));
        CHECK((fault.mAgents.empty() || fault.mAgents.back() < shape.mAgents));
        CHECK(fault.mDataCentre < kDataCentres);
        overlaps = overlaps || (i > 0 && fault.mAt < plan[i - 1].mAt + plan[i - 1].mLength);
      }
    }
    CHECK(kinds.size() == kFaultKinds);
    CHECK(overlaps);
  }

  SECTION("and a single entry and agent are enough for one")
  {
    CHECK_NOTHROW(MakePlan(Seed{ 1 }, { 1, 1, Millis(10'000) }));
  }
}
