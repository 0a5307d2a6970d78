#include "Tables/DiffTables.h"

#include <algorithm>
#include <unordered_map>

#include "Tables/Fields.h"

namespace Tables {

namespace {

std::string
FullKey(const Field& aField)
{
  return aField.mSection.empty() ? aField.mKey : aField.mSection + '.' + aField.mKey;
}

const Field*
FindField(const std::vector<Field>& aFields, const std::string& aKey)
{
  const auto found = std::find_if(
    aFields.begin(), aFields.end(), [&](const Field& aField) { return FullKey(aField) == aKey; });
  return found == aFields.end() ? nullptr : &*found;
}

std::vector<FieldChange>
DiffFields(const std::vector<Field>& aOld, const std::vector<Field>& aNew)
{
  std::vector<FieldChange> changes;
  for (const Field& field : aNew) {
    const Field* before = FindField(aOld, FullKey(field));
    if (before == nullptr || before->mValue != field.mValue) {
      changes.push_back({ FullKey(field), before == nullptr ? "" : before->mValue, field.mValue });
    }
  }
  for (const Field& field : aOld) {
    if (FindField(aNew, FullKey(field)) == nullptr) {
      changes.push_back({ FullKey(field), field.mValue, "" });
    }
  }
  return changes;
}

template<typename Item>
std::unordered_map<std::string, const Item*>
ByName(const std::vector<Item>& aItems)
{
  std::unordered_map<std::string, const Item*> names;
  for (const Item& item : aItems) {
    names.emplace(item.mName.str(), &item);
  }
  return names;
}

template<typename Item>
void
DiffItems(const std::string& aKind,
          const std::vector<Item>& aOld,
          const std::vector<Item>& aNew,
          std::vector<Change>& aChanges)
{
  const auto before = ByName(aOld);
  const auto after = ByName(aNew);
  for (const Item& item : aOld) {
    if (after.count(item.mName.str()) == 0) {
      aChanges.push_back({ ChangeKind::Removed,
                           aKind + " \"" + item.mName.str() + '"',
                           DiffFields(FieldsOf(item), {}) });
    }
  }
  for (const Item& item : aNew) {
    const auto found = before.find(item.mName.str());
    const bool added = found == before.end();
    std::vector<FieldChange> fields =
      DiffFields(added ? std::vector<Field>{} : FieldsOf(*found->second), FieldsOf(item));
    if (!fields.empty()) {
      aChanges.push_back({ added ? ChangeKind::Added : ChangeKind::Changed,
                           aKind + " \"" + item.mName.str() + '"',
                           std::move(fields) });
    }
  }
}

/// Names of the request routes in aRoutes that aOther has too, in the order of aRoutes.
std::vector<std::string>
SharedOrder(const std::vector<Route>& aRoutes, const std::vector<Route>& aOther)
{
  const auto other = ByName(aOther);
  std::vector<std::string> names;
  for (const Route& route : aRoutes) {
    const auto found = other.find(route.mName.str());
    if (found != other.end() && route.mKind == RouteKind::Request &&
        found->second->mKind == RouteKind::Request) {
      names.push_back(route.mName.str());
    }
  }
  return names;
}

void
DiffOrder(const TableSet& aOld, const TableSet& aNew, std::vector<Change>& aChanges)
{
  const std::vector<std::string> before = SharedOrder(aOld.mRoutes, aNew.mRoutes);
  const std::vector<std::string> after = SharedOrder(aNew.mRoutes, aOld.mRoutes);
  const auto [oldName, newName] =
    std::mismatch(before.begin(), before.end(), after.begin(), after.end());
  if (oldName != before.end() && newName != after.end()) {
    aChanges.push_back(
      { ChangeKind::Changed,
        "order of routes",
        { { "first difference", Toml::Quote(*oldName), Toml::Quote(*newName) } } });
  }
}

} // namespace

std::vector<Change>
DiffTables(const TableSet& aOld, const TableSet& aNew)
{
  std::vector<Change> changes;
  DiffItems("route", aOld.mRoutes, aNew.mRoutes, changes);
  DiffOrder(aOld, aNew, changes);
  DiffItems("pool", aOld.mPools, aNew.mPools, changes);
  DiffItems("team", aOld.mTeams, aNew.mTeams, changes);
  DiffItems("client", aOld.mClients, aNew.mClients, changes);
  return changes;
}

std::string
DiffText(const std::vector<Change>& aChanges)
{
  std::string text;
  for (const Change& change : aChanges) {
    const bool changed = change.mKind == ChangeKind::Changed;
    const std::string mark = changed ? "~ " : change.mKind == ChangeKind::Added ? "+ " : "- ";
    text += mark + change.mItem + '\n';
    for (const FieldChange& field : change.mFields) {
      text += "    " + field.mKey + ": ";
      if (changed) {
        text += (field.mOld.empty() ? "(absent)" : field.mOld) + " -> " +
                (field.mNew.empty() ? "(absent)" : field.mNew);
      } else {
        text += field.mOld.empty() ? field.mNew : field.mOld;
      }
      text += '\n';
    }
  }
  return text;
}

} // namespace Tables
