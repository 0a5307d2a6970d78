#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Spread/Delta.h"

using namespace Spread;

namespace {

Digest
DigestOf(std::int64_t aRevision, const TableTexts& aTexts)
{
  return { Revision(aRevision), HashTexts(aTexts) };
}

} // namespace

TEST_CASE("A delta turns one revision into the next", "[Spread]")
{
  rc::prop("for any two texts", [](const std::string& aOld, const std::string& aNew) {
    const TableTexts before{ aOld, aNew };
    const TableTexts after{ aNew, aOld };
    const Delta delta = MakeDelta(DigestOf(1, before), before, DigestOf(2, after), after);
    const auto result = ApplyDelta(DigestOf(1, before), before, delta);
    RC_ASSERT(result.has_value());
    RC_ASSERT(*result == after);
  });

  SECTION("an edit of one row costs about the row, not the table")
  {
    std::string routes;
    for (int i = 0; i < 10000; ++i) {
      routes += "[[route]]\nname = \"r" + std::to_string(i) + "\"\nprice_micro = 10\n\n";
    }
    TableTexts before{ routes, "pools" };
    TableTexts after = before;
    after.mRoutes.replace(after.mRoutes.find("\"r5000\"") + 23, 2, "25");
    const Delta delta = MakeDelta(DigestOf(1, before), before, DigestOf(2, after), after);
    REQUIRE(DeltaBytes(delta) < 100);
    REQUIRE(*ApplyDelta(DigestOf(1, before), before, delta) == after);
  }

  SECTION("it is refused on another base, or when it is damaged")
  {
    const TableTexts before{ "abc", "" };
    const TableTexts after{ "abd", "" };
    Delta delta = MakeDelta(DigestOf(1, before), before, DigestOf(2, after), after);
    REQUIRE(ApplyDelta(DigestOf(2, before), before, delta).error() == DeltaError::WrongBase);
    delta.mRoutes.mMiddle = "x";
    REQUIRE(ApplyDelta(DigestOf(1, before), before, delta).error() == DeltaError::Damaged);
    delta.mRoutes.mPrefix = UINT64_MAX;
    REQUIRE(ApplyDelta(DigestOf(1, before), before, delta).error() == DeltaError::Damaged);
  }
}

TEST_CASE("A delta log leads a late peer to the newest revision", "[Spread]")
{
  DeltaLog log(3, 100000);
  std::vector<TableTexts> texts{ { "0", "" } };
  for (int i = 1; i <= 5; ++i) {
    texts.push_back({ std::to_string(i), "" });
    const auto& before = texts[texts.size() - 2];
    log.append(MakeDelta(DigestOf(i - 1, before), before, DigestOf(i, texts.back()), texts.back()));
  }

  SECTION("from a revision that the log still covers")
  {
    REQUIRE(log.chainFrom(DigestOf(2, texts[2]), 100000).size() == 3);
  }
  SECTION("but not from an older one, nor over the size limit")
  {
    REQUIRE(log.chainFrom(DigestOf(1, texts[1]), 100000).empty());
    REQUIRE(log.chainFrom(DigestOf(2, texts[2]), 10).empty());
  }
  SECTION("a revision that does not continue the log starts it anew")
  {
    const TableTexts other{ "other", "" };
    const TableTexts next{ "next", "" };
    log.append(MakeDelta(DigestOf(8, other), other, DigestOf(9, next), next));
    REQUIRE(log.chainFrom(DigestOf(2, texts[2]), 100000).empty());
    REQUIRE(log.chainFrom(DigestOf(8, other), 100000).size() == 1);
  }
}
