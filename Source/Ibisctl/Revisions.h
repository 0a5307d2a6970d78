#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "Ibisctl/Command.h"
#include "Ibisctl/TableFiles.h"

namespace Ibisctl {

/// "tables show --directory" writes the revision number to this file beside the tables, and
/// "tables apply" starts from it.
constexpr const char* kRevisionFile = "revision";

/// A revision as the server gave it.
struct RevisionView
{
  std::int64_t mNumber = 0;
  TableTexts mTexts;
  nlohmann::json mJson;
};

/// The revision with the number aNumber, or the one in force if it is empty. Reasons for a failure
/// are printed, and the error is the exit code.
tl::expected<RevisionView, int>
FetchRevision(Session& aSession, const std::string& aNumber);

} // namespace Ibisctl
