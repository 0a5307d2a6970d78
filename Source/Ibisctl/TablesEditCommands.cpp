#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/Revisions.h"
#include "Ibisctl/TableFiles.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

/// One edit as it is sent.
struct Edit
{
  std::int64_t mBase = 0;
  TableTexts mTexts;
  std::string mComment;
};

std::string
AuthorOf(const Session& aSession)
{
  const char* user = std::getenv("USER");
  return aSession.mArguments.value("author", user == nullptr ? "unknown" : user);
}

/// The revision from which the operator started: --base, or the file beside the routes.
std::optional<std::int64_t>
BaseOf(const Session& aSession, const std::string& aRoutesFile)
{
  if (aSession.mArguments.has("base")) {
    return ParseCount(aSession.mArguments.value("base"));
  }
  std::ifstream file(std::filesystem::path(aRoutesFile).replace_filename(kRevisionFile));
  std::string line;
  return std::getline(file, line) ? ParseCount(line) : std::nullopt;
}

/// The next edit of the same files starts from the revision that this one made.
void
RememberRevision(const std::string& aRoutesFile, std::int64_t aRevision)
{
  const auto path = std::filesystem::path(aRoutesFile).replace_filename(kRevisionFile);
  if (std::filesystem::exists(path)) {
    std::ofstream(path) << aRevision << '\n';
  }
}

int
ReportApplied(Session& aSession, std::int64_t aRevision)
{
  if (aSession.mJson) {
    PrintObject(aSession, json{ { "revision", aRevision } }, {});
  } else {
    aSession.mOut << "revision " << aRevision << " is accepted\n";
  }
  return kSuccess;
}

/// A conflict: shows what the current revision changed since the base.
int
ReportConflict(Session& aSession, const Answer& aAnswer, const Edit& aEdit)
{
  const json body = ParseJson(aAnswer.mBody);
  if (aSession.mJson && !body.is_discarded()) {
    PrintObject(aSession, body, {});
    return kNegative;
  }
  const json* current =
    body.is_object() && body.contains("current") ? &body.at("current") : nullptr;
  const std::int64_t number = current != nullptr && current->is_object()
                                ? NumberOf(*current, "revision")
                                : NumberOf(body, "current");
  aSession.mError << "ibisctl: conflict: the tables are at revision " << number
                  << ", the edit started from " << aEdit.mBase << '\n';
  const std::string diff = TextOf(body, "diff");
  if (!diff.empty()) {
    aSession.mOut << diff << (diff.back() == '\n' ? "" : "\n");
  }
  return kNegative;
}

/// The revision in force if its tables are those of the edit and it is later than the base. An
/// equal edit of someone else in between has the same effect.
std::optional<std::int64_t>
FindApplied(Session& aSession, const Edit& aEdit)
{
  const auto answer = aSession.mApi.call("GET", "tables");
  if (!answer || !answer->succeeded()) {
    return std::nullopt;
  }
  const json body = ParseJson(answer->mBody);
  const std::int64_t revision = NumberOf(body, "revision");
  const bool same =
    TextOf(body, "routes") == aEdit.mTexts.mRoutes && TextOf(body, "pools") == aEdit.mTexts.mPools;
  return same && revision > aEdit.mBase ? std::optional(revision) : std::nullopt;
}

/// Looks for an edit whose answer was lost. It takes a moment until an accepted revision is in
/// force.
std::optional<std::int64_t>
SettleEdit(Session& aSession, const Edit& aEdit)
{
  constexpr std::chrono::milliseconds kLongest{ 5000 };
  constexpr std::chrono::milliseconds kPause{ 250 };
  const auto end = std::chrono::steady_clock::now() + std::min(aSession.mTimeout, kLongest);
  for (;;) {
    const auto applied = FindApplied(aSession, aEdit);
    if (applied || std::chrono::steady_clock::now() >= end) {
      return applied;
    }
    std::this_thread::sleep_for(kPause);
  }
}

/// The number of the revision that the edit made, or the exit code after the reason was printed.
tl::expected<std::int64_t, int>
Send(Session& aSession, const Edit& aEdit)
{
  const json request = { { "base", aEdit.mBase },
                         { "routes", aEdit.mTexts.mRoutes },
                         { "pools", aEdit.mTexts.mPools },
                         { "author", AuthorOf(aSession) },
                         { "comment", aEdit.mComment } };
  const std::string body = request.dump(-1, ' ', false, json::error_handler_t::replace);
  const auto answer = aSession.mApi.call("POST", "tables", body, false);
  const std::int64_t revision =
    answer && answer->succeeded() ? NumberOf(ParseJson(answer->mBody), "revision") : 0;
  if (revision > 0) {
    return revision;
  }
  if (!answer) {
    const auto applied =
      answer.error().mMaybeDelivered ? SettleEdit(aSession, aEdit) : std::nullopt;
    if (applied) {
      return *applied;
    }
    return tl::unexpected(ReportNoAnswer(aSession, answer.error()));
  }
  constexpr int kConflict = 409;
  if (answer->mStatus == kConflict) {
    return tl::unexpected(ReportConflict(aSession, *answer, aEdit));
  }
  if (!answer->succeeded()) {
    return tl::unexpected(ReportRefusal(aSession, *answer));
  }
  aSession.mError << "ibisctl: the answer names no revision; see ibisctl tables show\n";
  return tl::unexpected(kUnreachable);
}

int
Apply(Session& aSession)
{
  const auto& files = aSession.mArguments.mPositional;
  const auto texts = ReadTables(files[0], files[1]);
  if (!texts) {
    return UsageError(aSession, texts.error());
  }
  const auto base = BaseOf(aSession, files[0]);
  if (!base) {
    return UsageError(aSession,
                      "the revision from which the edit started is not known: give --base N, or "
                      "start with \"tables show --directory\"");
  }
  const CheckedTables checked = CheckTables(*texts);
  aSession.mError << checked.mFindings.text();
  if (checked.mFindings.hasErrors()) {
    return kNegative;
  }
  const auto applied = Send(aSession, { *base, *texts, aSession.mArguments.value("comment") });
  if (!applied) {
    return applied.error();
  }
  RememberRevision(files[0], *applied);
  return ReportApplied(aSession, *applied);
}

/// Makes the tables of an older revision the newest ones again.
int
Rollback(Session& aSession)
{
  const std::string number = aSession.mArguments.mPositional[0];
  const auto old = FetchRevision(aSession, number);
  if (!old) {
    return old.error();
  }
  const auto current = FetchRevision(aSession, "");
  if (!current) {
    return current.error();
  }
  if (aSession.mArguments.has("base") && !ParseCount(aSession.mArguments.value("base"))) {
    return UsageError(aSession, "--base must be a revision number");
  }
  const std::int64_t base =
    ParseCount(aSession.mArguments.value("base")).value_or(current->mNumber);
  const std::string comment =
    aSession.mArguments.value("comment", "rollback to revision " + number);
  const auto applied = Send(aSession, { base, old->mTexts, comment });
  return applied ? ReportApplied(aSession, *applied) : applied.error();
}

} // namespace

std::vector<Command>
TablesEditCommands()
{
  const std::vector<OptionSpec> options = {
    { "base", "N", "the revision from which the edit started" },
    { "author", "NAME", "who edits; the user by default" },
    { "comment", "TEXT", "why" },
  };
  return {
    { "tables apply",
      "ROUTES POOLS",
      "check two files and make them the next revision",
      2,
      2,
      options,
      &Apply },
    { "tables rollback",
      "N",
      "make the tables of revision N the next revision",
      1,
      1,
      options,
      &Rollback },
  };
}

} // namespace Ibisctl
