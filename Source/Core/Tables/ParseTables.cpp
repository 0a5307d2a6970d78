#include "Tables/ParseTables.h"

#include <tuple>

#include "Common/Hash.h"
#include "Common/Names.h"
#include "Tables/Reading.h"
#include "Toml/Document.h"

namespace Tables {

namespace {

/// A text with more findings than this is not a table that an operator edits; the rest is left out
/// so that an answer stays small.
constexpr std::size_t kMaxFindings = 1000;

Common::Findings
SortedByPlace(const Common::Findings& aFindings, const std::string& aFirstFile)
{
  std::vector<Common::Finding> items = aFindings.items();
  std::stable_sort(
    items.begin(), items.end(), [&](const Common::Finding& aLeft, const Common::Finding& aRight) {
      const auto rank = [&](const Common::Finding& aFinding) {
        const Common::Place& place = aFinding.mPlace;
        return std::make_tuple(place.mFile != aFirstFile, place.mLine, place.mColumn);
      };
      return rank(aLeft) < rank(aRight);
    });
  Common::Findings sorted;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (i == kMaxFindings) {
      sorted.warning(items[i].mPlace,
                     std::to_string(items.size() - i) + " more findings are left out");
      break;
    }
    if (items[i].mSeverity == Common::Severity::Error) {
      sorted.error(items[i].mPlace, items[i].mMessage);
    } else {
      sorted.warning(items[i].mPlace, items[i].mMessage);
    }
  }
  return sorted;
}

} // namespace

std::string
ReadName(Toml::TableReader& aReader, const std::string& aKind)
{
  const std::optional<std::string> name = aReader.text("name");
  if (!name) {
    aReader.missing("name");
    return "";
  }
  if (!Common::IsName(*name)) {
    aReader.error("name", "key \"name\" must have 1 to 64 letters, digits, '.', '_' and '-' only");
    return "";
  }
  aReader.rename(aKind + " \"" + *name + '"');
  return *name;
}

tl::expected<TableSet, Common::Findings>
ParseTables(std::string_view aRoutesText,
            std::string_view aPoolsText,
            const TableNames& aNames,
            Common::Findings* aWarnings)
{
  Common::Findings findings;
  TableSet tables;
  const auto routes = Toml::ParseDocument(aRoutesText, aNames.mRoutesFile);
  if (routes) {
    tables.mRoutes = ReadRoutes(*routes, aNames.mRoutesFile, findings);
  } else {
    findings.error(routes.error().mPlace, routes.error().mMessage);
  }
  const auto pools = Toml::ParseDocument(aPoolsText, aNames.mPoolsFile);
  if (pools) {
    ReadPools(*pools, aNames.mPoolsFile, tables, findings);
  } else {
    findings.error(pools.error().mPlace, pools.error().mMessage);
  }
  // References into a table that cannot be read would all be reported as dangling.
  if (routes && pools) {
    findings.append(ValidateTables(tables, aNames));
  }
  findings = SortedByPlace(findings, aNames.mRoutesFile);
  if (findings.hasErrors()) {
    return tl::unexpected(std::move(findings));
  }
  if (aWarnings != nullptr) {
    aWarnings->append(findings);
  }
  return tables;
}

std::uint64_t
JointHash(std::string_view aRoutesText, std::string_view aPoolsText)
{
  const std::uint64_t routes = Common::HashBytes(aRoutesText, aRoutesText.size());
  return Common::HashBytes(aPoolsText, routes);
}

} // namespace Tables
