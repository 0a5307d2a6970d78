#include "Ibisctl/Revisions.h"

namespace Ibisctl {

tl::expected<RevisionView, int>
FetchRevision(Session& aSession, const std::string& aNumber)
{
  if (!aNumber.empty() && !ParseCount(aNumber)) {
    return tl::unexpected(UsageError(aSession, '"' + aNumber + "\" is not a revision number"));
  }
  auto answer = Ask(aSession, "GET", aNumber.empty() ? "tables" : "tables/revisions/" + aNumber);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (!answer->is_object() || !answer->contains("routes") || !answer->contains("pools")) {
    aSession.mError << "ibisctl: the answer has no tables\n";
    return tl::unexpected(kUnreachable);
  }
  RevisionView view;
  view.mNumber = NumberOf(*answer, "revision");
  const std::string name = "revision " + std::to_string(view.mNumber);
  view.mTexts = {
    name + " routes", name + " pools", TextOf(*answer, "routes"), TextOf(*answer, "pools")
  };
  view.mJson = std::move(*answer);
  return view;
}

} // namespace Ibisctl
