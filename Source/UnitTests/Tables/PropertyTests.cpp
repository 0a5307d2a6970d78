#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Generators.h"
#include "Samples.h"
#include "Tables/DiffTables.h"
#include "Tables/ParseTables.h"
#include "Tables/PrintTables.h"
#include "Tables/RouteIndex.h"

using namespace TablesTests;

namespace {

/// Every finding must lead the operator to a place that exists.
void
RequirePlaces(const Common::Findings& aFindings,
              const std::string& aRoutes,
              const std::string& aPools)
{
  for (const Common::Finding& finding : aFindings.items()) {
    const Common::Place& place = finding.mPlace;
    RC_ASSERT(place.mFile == "r" || place.mFile == "p");
    const std::string& text = place.mFile == "r" ? aRoutes : aPools;
    const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    RC_ASSERT(place.mLine >= 1U);
    RC_ASSERT(static_cast<std::ptrdiff_t>(place.mLine) <= lines);
    RC_ASSERT(place.mColumn >= 1U);
    RC_ASSERT(!finding.mMessage.empty());
    RC_ASSERT(finding.mMessage.find('\n') == std::string::npos);
  }
}

void
CheckParse(const std::string& aRoutes, const std::string& aPools)
{
  Common::Findings warnings;
  const auto tables = Tables::ParseTables(aRoutes, aPools, { "r", "p", {} }, &warnings);
  if (!tables) {
    RC_ASSERT(tables.error().hasErrors());
    RequirePlaces(tables.error(), aRoutes, aPools);
    return;
  }
  RC_ASSERT(!warnings.hasErrors());
  RequirePlaces(warnings, aRoutes, aPools);
  // What is accepted must survive printing.
  const auto again = Tables::ParseTables(Tables::PrintRoutes(*tables), Tables::PrintPools(*tables));
  RC_ASSERT(again.has_value());
  RC_ASSERT(Tables::DiffTables(*tables, *again).empty());
}

/// The documented rule, written without an index.
const Tables::Route*
SlowMatch(const Tables::TableSet& aTables, const Request& aRequest)
{
  const auto covers = [&](const Tables::Route& aRoute) {
    const Tables::RouteMatch& match = aRoute.mMatch;
    const std::string& prefix = match.mPathPrefix;
    const bool path =
      aRequest.mPath.starts_with(prefix) &&
      (aRequest.mPath.size() == prefix.size() || aRequest.mPath[prefix.size()] == '/');
    const bool host =
      match.mHost.empty() || match.mHost == aRequest.mHost ||
      (match.mHost.front() == '*' && aRequest.mHost.ends_with(match.mHost.substr(1)));
    const bool method = match.mMethods.empty() ||
                        std::find(match.mMethods.begin(), match.mMethods.end(), aRequest.mMethod) !=
                          match.mMethods.end();
    return path && host && method &&
           std::all_of(match.mHeaders.begin(), match.mHeaders.end(), [&](const auto& aHeader) {
             return std::find(aRequest.mHeaders.begin(), aRequest.mHeaders.end(), aHeader) !=
                    aRequest.mHeaders.end();
           });
  };
  const auto rank = [](const Tables::Route& aRoute) {
    const Tables::RouteMatch& match = aRoute.mMatch;
    const int host = match.mHost.empty() ? 0 : match.mHost.front() == '*' ? 1 : 2;
    return std::make_tuple(match.mPathPrefix.size(),
                           host,
                           match.mHost.size(),
                           !match.mMethods.empty(),
                           match.mHeaders.size());
  };
  const Tables::Route* best = nullptr;
  for (const Tables::Route& route : aTables.mRoutes) {
    if (route.mKind == Tables::RouteKind::Request && covers(route) &&
        (best == nullptr || rank(route) > rank(*best))) {
      best = &route;
    }
  }
  return best;
}

} // namespace

TEST_CASE("No input crashes the tables, and every fault has a place", "[Tables]")
{
  rc::prop("random bytes", [](const std::string& aRoutes, const std::string& aPools) {
    CheckParse(aRoutes, aPools);
  });
  rc::prop("random pieces of TOML", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(TomlPiece());
    std::string text;
    for (const std::string& piece : pieces) {
      text += piece;
    }
    CheckParse(text, kPools);
    CheckParse(kRoutes, text);
  });
  rc::prop("mutated valid tables", [] { CheckParse(*Mutated(kRoutes), *Mutated(kPools)); });
  rc::prop("valid tables with one key changed", [] {
    const std::string routes = *OneValueChanged(kRoutes);
    CheckParse(routes, kPools);
    CheckParse(kRoutes, *OneValueChanged(kPools));
  });
}

TEST_CASE("Tables survive printing and reading", "[Tables]")
{
  rc::prop("parse(print(tables)) gives the same tables", [] {
    const Tables::TableSet tables = *AnyTables();
    const std::string routes = Tables::PrintRoutes(tables);
    const std::string pools = Tables::PrintPools(tables);
    const auto again = Tables::ParseTables(routes, pools);
    RC_LOG() << (again ? "" : again.error().text()) << routes << pools;
    RC_ASSERT(again.has_value());
    RC_ASSERT(Tables::DiffTables(tables, *again).empty());
    RC_ASSERT(Tables::PrintRoutes(*again) == routes);
    RC_ASSERT(Tables::PrintPools(*again) == pools);
  });
  rc::prop(
    "a diff is empty exactly if both print the same, and names removed as added backwards", [] {
      const Tables::TableSet left = *AnyTables();
      const Tables::TableSet right = *AnyTables();
      const auto forward = Tables::DiffTables(left, right);
      const auto backward = Tables::DiffTables(right, left);
      RC_ASSERT(forward.empty() == (Tables::PrintPools(left) == Tables::PrintPools(right) &&
                                    Tables::PrintRoutes(left) == Tables::PrintRoutes(right)));
      const auto items = [](const std::vector<Tables::Change>& aChanges, Tables::ChangeKind aKind) {
        std::set<std::string> names;
        for (const Tables::Change& change : aChanges) {
          if (change.mKind == aKind) {
            names.insert(change.mItem);
          }
        }
        return names;
      };
      RC_ASSERT(items(forward, Tables::ChangeKind::Added) ==
                items(backward, Tables::ChangeKind::Removed));
      RC_ASSERT(items(forward, Tables::ChangeKind::Changed) ==
                items(backward, Tables::ChangeKind::Changed));
    });
}

TEST_CASE("The index chooses the route that the documented rule chooses", "[Tables]")
{
  rc::prop("for any tables and requests", [] {
    const Tables::TableSet tables = *AnyTables();
    const Tables::RouteIndex index = Tables::BuildRouteIndex(tables);
    std::size_t matched = 0;
    for (int i = 0; i < 50; ++i) {
      const Request request = *AnyRequest();
      std::vector<Tables::RequestHeader> headers;
      for (const Tables::HeaderMatch& header : request.mHeaders) {
        headers.push_back({ header.mName, header.mValue });
      }
      const Tables::Route* route =
        Tables::MatchRoute(tables, index, request.mHost, request.mPath, request.mMethod, headers);
      RC_ASSERT(route == SlowMatch(tables, request));
      matched += route == nullptr ? 0 : 1;
    }
    RC_TAG(matched == 0 ? "no match" : "some match");
  });
}
