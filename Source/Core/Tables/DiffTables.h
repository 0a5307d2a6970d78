#pragma once

#include <string>
#include <vector>

#include "Tables/Tables.h"

namespace Tables {

enum class ChangeKind
{
  Added,
  Removed,
  Changed,
};

/// One key whose value differs; an empty value means that the key is absent.
struct FieldChange
{
  std::string mKey;
  std::string mOld;
  std::string mNew;
};

/// What happened to one item of a table.
struct Change
{
  ChangeKind mKind = ChangeKind::Changed;
  /// Kind and name of the item, for example: route "quotes".
  std::string mItem;
  /// All keys of an added or removed item, the differing keys of a changed one.
  std::vector<FieldChange> mFields;
};

/// The changes from aOld to aNew, routes first; each item is compared with the one of the same
/// name. The order of routes counts as an item of its own, since it decides between equal matches.
std::vector<Change>
DiffTables(const TableSet& aOld, const TableSet& aNew);

/// One line for each item, with "+", "-" or "~" in front, and one indented line for each changed
/// key. Empty if there are no changes.
std::string
DiffText(const std::vector<Change>& aChanges);

} // namespace Tables
