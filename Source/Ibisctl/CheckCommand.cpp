#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/TableFiles.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

json
FindingsJson(const Common::Findings& aFindings)
{
  json list = json::array();
  for (const Common::Finding& finding : aFindings.items()) {
    list.push_back(
      { { "file", finding.mPlace.mFile },
        { "line", finding.mPlace.mLine },
        { "column", finding.mPlace.mColumn },
        { "severity", finding.mSeverity == Common::Severity::Warning ? "warning" : "error" },
        { "message", finding.mMessage } });
  }
  return { { "findings", std::move(list) } };
}

int
Check(Session& aSession)
{
  const auto& files = aSession.mArguments.mPositional;
  std::vector<Common::DataCentreId> dataCentres;
  const auto named = aSession.mArguments.mOptions.find("data-centre");
  if (named != aSession.mArguments.mOptions.end()) {
    for (const std::string& name : named->second) {
      dataCentres.emplace_back(name);
    }
  }
  const auto texts = ReadTables(files[0], files[1]);
  if (!texts) {
    return UsageError(aSession, texts.error());
  }
  const CheckedTables checked = CheckTables(*texts, dataCentres);
  if (aSession.mJson) {
    aSession.mOut << FindingsJson(checked.mFindings).dump(2) << '\n';
  } else {
    aSession.mOut << checked.mFindings.text();
  }
  return checked.mFindings.hasErrors() ? kNegative : kSuccess;
}

} // namespace

std::vector<Command>
CheckCommands()
{
  return { { "check",
             "ROUTES POOLS",
             "check two table files without a server",
             2,
             2,
             { { "data-centre", "NAME", "a data centre of the fleet; may be repeated" } },
             &Check } };
}

} // namespace Ibisctl
