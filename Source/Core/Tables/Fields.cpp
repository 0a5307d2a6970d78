#include "Tables/Fields.h"

namespace Tables {

namespace {

constexpr std::int64_t kKib = 1 << 10;
using Common::kMib;

std::string
Boolean(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string
List(const std::vector<std::string>& aTexts)
{
  std::string list;
  for (const std::string& text : aTexts) {
    list += (list.empty() ? "" : ", ") + Toml::Quote(text);
  }
  return '[' + list + ']';
}

std::string
Milliseconds(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

template<typename Amount>
std::string
Number(Amount aAmount)
{
  return std::to_string(aAmount.value());
}

void
AddMatch(const RouteMatch& aMatch, std::vector<Field>& aFields)
{
  if (!aMatch.mHost.empty()) {
    aFields.push_back({ "match", "host", Toml::Quote(aMatch.mHost) });
  }
  const std::string path = aMatch.mPathPrefix.empty() ? "/" : aMatch.mPathPrefix;
  aFields.push_back({ "match", "path_prefix", Toml::Quote(path) });
  if (!aMatch.mMethods.empty()) {
    aFields.push_back({ "match", "methods", List(aMatch.mMethods) });
  }
  std::string headers;
  for (const HeaderMatch& header : aMatch.mHeaders) {
    headers += (headers.empty() ? "" : ", ") + Toml::Quote(header.mName) + " = " +
               Toml::Quote(header.mValue);
  }
  if (!headers.empty()) {
    aFields.push_back({ "match", "headers", "{ " + headers + " }" });
  }
}

void
AddResources(const std::string& aSection,
             const Common::Resources& aResources,
             std::vector<Field>& aFields)
{
  aFields.push_back({ aSection, "milli_cores", Number(aResources.mCores) });
  aFields.push_back({ aSection, "memory_mib", std::to_string(aResources.mMemory.value() / kMib) });
  aFields.push_back({ aSection, "accelerators", Number(aResources.mAccelerators) });
}

} // namespace

std::vector<Field>
FieldsOf(const Route& aRoute)
{
  std::vector<Field> fields = {
    { "", "name", Toml::Quote(aRoute.mName.str()) },
    { "", "kind", Toml::Quote(NameOf(aRoute.mKind)) },
    { "", "pool", Toml::Quote(aRoute.mPool.str()) },
    { "", "urgency", Toml::Quote(NameOf(aRoute.mUrgency)) },
    { "", "price_micro", Number(aRoute.mPrice) },
  };
  if (aRoute.mKind != RouteKind::Watch) {
    fields.push_back({ "", "deadline_ms", Milliseconds(aRoute.mDeadline) });
  }
  if (aRoute.mKind == RouteKind::Request) {
    fields.push_back({ "", "idempotent", Boolean(aRoute.mIdempotent) });
    fields.push_back({ "", "hedge", Boolean(aRoute.mHedge) });
    fields.push_back({ "", "max_body_kib", std::to_string(aRoute.mMaxBody.value() / kKib) });
    AddMatch(aRoute.mMatch, fields);
  } else {
    fields.push_back({ "", "restart", Toml::Quote(NameOf(aRoute.mRestart)) });
    fields.push_back({ "", "max_attempts", std::to_string(aRoute.mMaxAttempts) });
  }
  return fields;
}

std::vector<Field>
FieldsOf(const Pool& aPool)
{
  std::vector<std::string> dataCentres;
  for (const Common::DataCentreId& dataCentre : aPool.mDataCentres) {
    dataCentres.push_back(dataCentre.str());
  }
  std::vector<Field> fields = {
    { "", "name", Toml::Quote(aPool.mName.str()) },
    { "", "data_centres", List(dataCentres) },
    { "", "labels", List(aPool.mLabels) },
    { "per_worker", "slots", Number(aPool.mPerWorker.mSlots) },
    { "per_worker", "connections", Number(aPool.mPerWorker.mConnections) },
  };
  AddResources("per_worker", aPool.mPerWorker.mResources, fields);
  for (const MinShare& share : aPool.mMinShares) {
    fields.push_back(
      { "min_share_percent", NameOf(share.mUrgency), std::to_string(share.mPercent) });
  }
  return fields;
}

std::vector<Field>
FieldsOf(const Team& aTeam)
{
  std::vector<Field> fields = {
    { "", "name", Toml::Quote(aTeam.mName.str()) },
    { "", "weight", std::to_string(aTeam.mWeight) },
    { "", "may_borrow", Boolean(aTeam.mMayBorrow) },
  };
  AddResources("quota", aTeam.mQuota, fields);
  fields.push_back({ "quota", "slots", Number(aTeam.mSlotQuota) });
  return fields;
}

std::vector<Field>
FieldsOf(const Client& aClient)
{
  std::vector<Field> fields = {
    { "", "name", Toml::Quote(aClient.mName.str()) },
    { "", "team", Toml::Quote(aClient.mTeam.str()) },
    { "", "weight", std::to_string(aClient.mWeight) },
  };
  if (!aClient.mHome.empty()) {
    fields.push_back({ "", "home", Toml::Quote(aClient.mHome.str()) });
  }
  return fields;
}

} // namespace Tables
