#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/Revisions.h"
#include "Ibisctl/TableFiles.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

bool
WriteFile(const std::filesystem::path& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  return !file.fail();
}

/// Writes the tables and their revision, for editing and "tables apply".
int
WriteDirectory(Session& aSession, const RevisionView& aRevision, const std::string& aDirectory)
{
  const std::filesystem::path directory(aDirectory);
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error || !WriteFile(directory / "routes.toml", aRevision.mTexts.mRoutes) ||
      !WriteFile(directory / "pools.toml", aRevision.mTexts.mPools) ||
      !WriteFile(directory / kRevisionFile, std::to_string(aRevision.mNumber) + '\n')) {
    return UsageError(aSession, "cannot write to \"" + aDirectory + '"');
  }
  aSession.mOut << "wrote revision " << aRevision.mNumber << " to " << aDirectory << '\n';
  return kSuccess;
}

int
Show(Session& aSession)
{
  const auto answer = FetchRevision(aSession, aSession.mArguments.value("revision"));
  if (!answer) {
    return answer.error();
  }
  if (aSession.mArguments.has("directory")) {
    return WriteDirectory(aSession, *answer, aSession.mArguments.value("directory"));
  }
  if (aSession.mJson) {
    PrintObject(aSession, answer->mJson, {});
    return kSuccess;
  }
  json head = answer->mJson;
  head.erase("routes");
  head.erase("pools");
  PrintObject(aSession, head, { "revision", "hash", "author", "unix_ms", "comment" });
  aSession.mOut << "\n# routes\n"
                << answer->mTexts.mRoutes << "\n# pools\n"
                << answer->mTexts.mPools;
  return kSuccess;
}

int
PrintDiff(Session& aSession, const TableTexts& aOld, const TableTexts& aNew)
{
  const std::string diff = DiffOfTables(aOld, aNew);
  if (aSession.mJson) {
    PrintObject(aSession, json{ { "differs", !diff.empty() }, { "diff", diff } }, {});
  } else {
    aSession.mOut << (diff.empty() ? "no differences\n" : diff);
  }
  return diff.empty() ? kSuccess : kNegative;
}

/// Compares two revisions, or a revision with two files.
int
Diff(Session& aSession)
{
  const auto& files = aSession.mArguments.mPositional;
  if (files.size() == 1) {
    return UsageError(aSession, "give both ROUTES and POOLS, or neither and --from");
  }
  if (files.empty() && !aSession.mArguments.has("from")) {
    return UsageError(aSession, "give ROUTES and POOLS, or --from");
  }
  if (!files.empty() && aSession.mArguments.has("to")) {
    return UsageError(aSession, "--to does not go with files");
  }
  tl::expected<TableTexts, std::string> local;
  if (!files.empty()) {
    local = ReadTables(files[0], files[1]);
    if (!local) {
      return UsageError(aSession, local.error());
    }
  }
  const auto from = FetchRevision(aSession, aSession.mArguments.value("from"));
  if (!from) {
    return from.error();
  }
  if (!files.empty()) {
    return PrintDiff(aSession, from->mTexts, *local);
  }
  const auto to = FetchRevision(aSession, aSession.mArguments.value("to"));
  return to ? PrintDiff(aSession, from->mTexts, to->mTexts) : to.error();
}

int
History(Session& aSession)
{
  const auto answer = Ask(aSession, "GET", "tables/history");
  if (!answer) {
    return answer.error();
  }
  PrintList(aSession, *answer, "revisions", { "revision", "unix_ms", "author", "comment", "hash" });
  return kSuccess;
}

/// True if an instance of the status is marked late.
bool
AnyLate(const json& aAnswer)
{
  const json& items =
    aAnswer.is_object() && aAnswer.contains("instances") ? aAnswer.at("instances") : aAnswer;
  return std::any_of(items.begin(), items.end(), [](const json& aItem) {
    return aItem.is_object() && aItem.value("late", json(false)) == json(true);
  });
}

int
Status(Session& aSession)
{
  const auto answer = Ask(aSession, "GET", "tables/status");
  if (!answer) {
    return answer.error();
  }
  if (!aSession.mJson && NumberOf(*answer, "revision") > 0) {
    aSession.mOut << "revision " << NumberOf(*answer, "revision") << "\n\n";
  }
  PrintList(
    aSession, *answer, "instances", { "instance", "data_centre", "revision", "hash", "late" });
  return AnyLate(*answer) ? kNegative : kSuccess;
}

} // namespace

std::vector<Command>
TablesCommands()
{
  return {
    { "tables show",
      "",
      "print the tables in force, or write them to a directory for editing",
      0,
      0,
      { { "revision", "N", "show this revision" },
        { "directory", "DIR", "write routes.toml, pools.toml and the revision number there" } },
      &Show },
    { "tables diff",
      "[ROUTES POOLS]",
      "compare a revision with files or with another revision; exit code 1 if they differ",
      0,
      2,
      { { "from", "N", "the older side; the revision in force by default" },
        { "to", "N", "the newer side without files; the revision in force by default" } },
      &Diff },
    { "tables history", "", "list the revisions", 0, 0, {}, &History },
    { "tables status",
      "",
      "show the revision in force at each instance; exit code 1 if one is late",
      0,
      0,
      {},
      &Status },
  };
}

} // namespace Ibisctl
